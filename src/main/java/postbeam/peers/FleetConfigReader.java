package postbeam.peers;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import postbeam.config.InstanceSettings;
import postbeam.coordination.ElectionTimeouts;
import postbeam.coordination.LeaseParameters;
import postbeam.coordination.SlowStartRamp;

/** Reads the section {@code together} of the settings; its schema describes the keys. */
public final class FleetConfigReader {
    private static final String SECTION = "together.";

    private FleetConfigReader() {}

    /**
     * Reads the section.
     *
     * @throws IllegalArgumentException if a setting is missing or invalid; the message names it
     */
    public static FleetConfig read(InstanceSettings settings) {
        Map<String, String> routers = routers(settings);
        Duration window = millis(settings, "windowMs");
        Duration drift = millis(settings, "driftMs");
        int maxRouters = settings.integerAtLeast(SECTION + "shares", 1);
        if (maxRouters < routers.size()) {
            throw settings.invalid(
                    SECTION + "shares",
                    "must be at least the number of together.routers, "
                            + routers.size()
                            + ", not "
                            + maxRouters);
        }
        LeaseParameters leases =
                new LeaseParameters(
                        millis(settings, "leaseMs"),
                        window,
                        drift,
                        number(settings, "reserved"),
                        number(settings, "underWay"),
                        maxRouters,
                        number(settings, "callMost"));
        ElectionTimeouts election =
                new ElectionTimeouts(
                        millis(settings, "officeMs"), millis(settings, "longestMs"), drift);
        SlowStartRamp ramp =
                new SlowStartRamp(
                        number(settings, "firstWork"),
                        number(settings, "risesTo"),
                        millis(settings, "rampMs"),
                        window);
        return new FleetConfig(
                settings.required(SECTION + "name"),
                routers,
                settings.integerAtLeast(SECTION + "stripes", 1),
                leases,
                election,
                ramp);
    }

    private static Map<String, String> routers(InstanceSettings settings) {
        Map<String, String> routers = new LinkedHashMap<>();
        for (int i = 0; i < settings.objectCount(SECTION + "routers"); i++) {
            String router = SECTION + "routers." + i;
            routers.put(
                    settings.required(router + ".name"), settings.required(router + ".address"));
        }
        return routers;
    }

    private static double number(InstanceSettings settings, String key) {
        return settings.number(SECTION + key);
    }

    private static Duration millis(InstanceSettings settings, String key) {
        return Duration.ofMillis(settings.integerAtLeast(SECTION + key, 0));
    }
}
