package postbeam;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import postbeam.roster.Entry;
import postbeam.roster.Roster;
import postbeam.setup.Assembly;
import postbeam.setup.Info;
import postbeam.state.DataNode;
import postbeam.state.Fleet;
import postbeam.state.Readiness;

class RosterTest {
    /** No query comes, so that none of what the decisions want done is looked at. */
    private final Host host =
            (Host)
                    Proxy.newProxyInstance(
                            Host.class.getClassLoader(),
                            new Class<?>[] {Host.class},
                            (proxy, method, arguments) -> null);

    private final Decide decide = Assembly.decide(host, new Random(1), new Fleet(1, 1), new Info());
    private final Roster roster = new Roster("a");

    private void listed(String name, Readiness readiness, boolean whole) {
        roster.listed(
                Duration.ZERO,
                List.of(new Entry(name, "a", 0, 0, readiness)),
                whole,
                micros -> Duration.ZERO,
                decide);
    }

    @Test
    void nodesThatComeAndGoAreForgottenAndOneThatIsBackSoonIsNot() {
        listed("first", Readiness.READY, true);
        listed("back", Readiness.READY, false);
        DataNode back = roster.node("back");
        listed("back", Readiness.GONE, false);
        listed("back", Readiness.READY, false);
        assertSame(back, roster.node("back"));
        for (int i = 0; i < 200; i++) {
            listed("n" + i, Readiness.READY, i % 2 == 0);
            listed("n" + i, Readiness.GONE, false);
        }
        assertNull(roster.node("first"));
        assertNull(roster.node("n0"));
        assertNotNull(roster.node("n199"));
    }
}
