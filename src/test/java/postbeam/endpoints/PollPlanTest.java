package postbeam.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import postbeam.endpoints.PollPlan.Failure;
import postbeam.endpoints.PollPlan.Request;

class PollPlanTest {
    private final PollPlan plan = new PollPlan(true);

    private void assertNext(Request request, long version) {
        assertEquals(request, plan.next());
        assertEquals(version, plan.version());
    }

    @Test
    void completeDocumentIsRequestedFirst() {
        assertNext(Request.COMPLETE, PollPlan.NO_VERSION);
        plan.onUpdate(Request.LONG_POLL, 7);
        assertNext(Request.LONG_POLL, 7);
    }

    @Test
    void changesAreRequestedAgainWhereTheirResponseIsMissing() {
        plan.onUpdate(Request.LONG_POLL, 7);
        plan.onFailure(Failure.NO_RESPONSE);
        assertNext(Request.CATCH_UP, 7);
        plan.onUpdate(Request.LONG_POLL, 7);
        assertNext(Request.LONG_POLL, 7);
        assertEquals(0, plan.consecutiveFailures());
    }

    /** Versions of a server that has restarted may be counted anew. */
    @ParameterizedTest
    @EnumSource(names = {"CONNECTION_REFUSED", "REJECTED"})
    void versionIsNotUsedAgainAfterARestartOrABadResponse(Failure failure) {
        plan.onUpdate(Request.LONG_POLL, 7);
        plan.onFailure(failure);
        assertNext(Request.COMPLETE, PollPlan.NO_VERSION);
        plan.onFailure(Failure.NO_RESPONSE);
        assertNext(Request.COMPLETE, PollPlan.NO_VERSION);
    }

    @Test
    void oneInFourPollsOfAnOutageRequestsTheCompleteDocument() {
        plan.onUpdate(Request.LONG_POLL, 7);
        List<Request> requests =
                IntStream.range(0, 8)
                        .mapToObj(
                                i -> {
                                    plan.onFailure(Failure.NO_RESPONSE);
                                    return plan.next();
                                })
                        .toList();
        Request changes = Request.CATCH_UP;
        assertEquals(
                List.of(
                        changes,
                        changes,
                        changes,
                        Request.COMPLETE,
                        changes,
                        changes,
                        changes,
                        Request.COMPLETE),
                requests);
    }

    /** Whole lists of thousands of nodes would make a slow server slower. */
    @Test
    void slowServerThatSendsChangesIsRarelyAskedForTheCompleteDocument() {
        plan.onUpdate(Request.LONG_POLL, 7);
        plan.onFailure(Failure.NO_RESPONSE);
        plan.onUpdate(Request.LONG_POLL, 7);
        for (int failure = 1; failure < 16; failure++) {
            plan.onFailure(Failure.NO_RESPONSE);
            assertNext(Request.CATCH_UP, 7);
        }
        plan.onFailure(Failure.NO_RESPONSE);
        assertNext(Request.COMPLETE, PollPlan.NO_VERSION);
    }

    @Test
    void completeDocumentIsRequestedFromAServerThatSendsNoChanges() {
        PollPlan layouts = new PollPlan(false);
        layouts.onUpdate(Request.LONG_POLL, 7);
        layouts.onFailure(Failure.NO_RESPONSE);
        assertEquals(Request.COMPLETE, layouts.next());
    }
}
