package postbeam.together;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import postbeam.setup.Info;
import postbeam.shared.LeaseTerms;
import postbeam.shared.OfficeTerms;
import postbeam.shared.Ramp;

/** The section {@code together} of our own settings. */
public final class TogetherForm {
    private TogetherForm() {}

    /** An IllegalArgumentException names what can't be used. */
    public static Together.Place place(Info own) {
        Map<String, String> routers = new LinkedHashMap<>();
        for (int i = 0; i < own.count("together.routers"); i++) {
            routers.put(
                    own.needed("together.routers." + i + ".name"),
                    own.needed("together.routers." + i + ".address"));
        }
        Duration window = millis(own, "windowMs");
        Duration drift = millis(own, "driftMs");
        int shares = own.atLeast("together.shares", 1);
        if (shares < routers.size()) {
            throw own.bad(
                    "together.shares",
                    "must be at least as many as there are routers, " + routers.size());
        }
        return new Together.Place(
                own.needed("together.name"),
                routers,
                own.atLeast("together.stripes", 1),
                new LeaseTerms(
                        millis(own, "leaseMs"),
                        window,
                        drift,
                        own.number("together.reserved"),
                        own.number("together.underWay"),
                        shares,
                        own.number("together.callMost")),
                new OfficeTerms(millis(own, "officeMs"), millis(own, "longestMs"), drift),
                new Ramp(
                        own.number("together.firstWork"),
                        own.number("together.risesTo"),
                        millis(own, "rampMs"),
                        window));
    }

    private static Duration millis(Info own, String name) {
        return Duration.ofMillis(own.atLeast("together." + name, 0));
    }
}
