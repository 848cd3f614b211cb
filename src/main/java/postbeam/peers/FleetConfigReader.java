package postbeam.peers;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import postbeam.config.InstanceSettings;
import postbeam.coordination.ElectionTimeouts;
import postbeam.coordination.LeaseParameters;
import postbeam.coordination.SlowStartRamp;

/** The section {@code together} of our own settings. */
public final class FleetConfigReader {
    private FleetConfigReader() {}

    /** An IllegalArgumentException names what can't be used. */
    public static PeerCoordinator.FleetConfig read(InstanceSettings own) {
        Map<String, String> routers = new LinkedHashMap<>();
        for (int i = 0; i < own.objectCount("together.routers"); i++) {
            routers.put(
                    own.required("together.routers." + i + ".name"),
                    own.required("together.routers." + i + ".address"));
        }
        Duration window = millis(own, "windowMs");
        Duration drift = millis(own, "driftMs");
        int shares = own.integerAtLeast("together.shares", 1);
        if (shares < routers.size()) {
            throw own.invalid(
                    "together.shares",
                    "must be at least as many as there are routers, " + routers.size());
        }
        return new PeerCoordinator.FleetConfig(
                own.required("together.name"),
                routers,
                own.integerAtLeast("together.stripes", 1),
                new LeaseParameters(
                        millis(own, "leaseMs"),
                        window,
                        drift,
                        own.number("together.reserved"),
                        own.number("together.underWay"),
                        shares,
                        own.number("together.callMost")),
                new ElectionTimeouts(millis(own, "officeMs"), millis(own, "longestMs"), drift),
                new SlowStartRamp(
                        own.number("together.firstWork"),
                        own.number("together.risesTo"),
                        millis(own, "rampMs"),
                        window));
    }

    private static Duration millis(InstanceSettings own, String name) {
        return Duration.ofMillis(own.integerAtLeast("together." + name, 0));
    }
}
