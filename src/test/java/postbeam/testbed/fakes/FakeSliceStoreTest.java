package postbeam.testbed.fakes;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import postbeam.slices.HandoffCommand;
import postbeam.slices.KeyRange;

class FakeSliceStoreTest {
    private static final KeyRange KEYS = new KeyRange(0, 100);
    private static final int SLICE = 3;
    private static final long VERSION = 7;

    private final FakeSliceStore store = new FakeSliceStore();

    private boolean order(HandoffCommand command, long term, long number) {
        return store.execute(command, SLICE, KEYS, VERSION, new OrderNumber(term, number), false);
    }

    private FakeSliceStore.HeldSlice accepted() {
        return store.tryAccept(SLICE, VERSION, KEYS);
    }

    /** A FENCE that arrived after the SERVE of a rollback left the slice fenced for good. */
    @Test
    void fenceThatWasOvertakenByServeIsNotCarriedOut() {
        assertTrue(order(HandoffCommand.SERVE, 1, 1));
        assertTrue(order(HandoffCommand.SERVE, 1, 9));
        assertFalse(order(HandoffCommand.FENCE, 1, 8));
        assertNotNull(accepted());
    }

    /** Two sets of holders would accept calls. */
    @Test
    void serveThatWasOvertakenByFenceOrDropIsNotCarriedOutAfterRestartEither() {
        assertTrue(order(HandoffCommand.SERVE, 1, 1));
        assertTrue(order(HandoffCommand.FENCE, 1, 5));
        store.restarted();
        assertFalse(order(HandoffCommand.SERVE, 1, 4));
        assertNull(accepted());
        assertTrue(order(HandoffCommand.DROP, 1, 6));
        store.restarted();
        assertFalse(order(HandoffCommand.SERVE, 1, 4));
        assertNull(accepted());
    }

    /** A coordinator counts anew in each term. */
    @Test
    void orderOfLaterTermIsCarriedOutWhateverItsNumber() {
        assertTrue(order(HandoffCommand.SERVE, 1, 900));
        assertTrue(order(HandoffCommand.FENCE, 2, 1));
        assertFalse(order(HandoffCommand.SERVE, 1, 901));
        assertNull(accepted());
    }

    @Test
    void orderThatIsSentAgainIsCarriedOut() {
        assertTrue(order(HandoffCommand.SERVE, 1, 1));
        assertTrue(order(HandoffCommand.FENCE, 1, 2));
        assertTrue(order(HandoffCommand.FENCE, 1, 3));
        assertTrue(order(HandoffCommand.FENCE, 1, 3));
    }
}
