package postbeam;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.roster.Entry;
import postbeam.roster.Roster;
import postbeam.state.DataNode;
import postbeam.state.Readiness;

class RosterTest {
    private final Given given = new Given(0, true);
    private final Roster roster = new Roster("a");

    private void listed(String name, Readiness readiness, boolean whole) {
        roster.listed(Duration.ZERO, List.of(new Entry(name, "a", 0, 0, readiness)), whole, micros -> Duration.ZERO, given.decide);
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
