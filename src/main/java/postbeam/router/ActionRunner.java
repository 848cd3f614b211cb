package postbeam.router;

import java.util.List;
import java.util.Optional;
import postbeam.datanodes.DataNodeClient;
import postbeam.dispatch.QueryAction;
import postbeam.pages.RowFetch;

/**
 * Carries out the policy's actions: those of a query on the query's thread, all others on the
 * thread that calls {@link #runBackgroundActions}. Takes no lock of its own.
 */
final class ActionRunner implements ServedQuery.QueryRunner {
    private static final System.Logger LOG = System.getLogger(ActionRunner.class.getName());

    private final PolicyExecutor executor;
    private final DataNodeClient dataNodes;

    /** Service that answers page requests; null if pages are disabled. */
    private final PagingService paging;

    ActionRunner(PolicyExecutor executor, DataNodeClient dataNodes, PagingService paging) {
        this.executor = executor;
        this.dataNodes = dataNodes;
        this.paging = paging;
    }

    /** Carries out background actions until the thread is interrupted. */
    void runBackgroundActions() {
        while (true) {
            try {
                executor.awaitBackgroundActions().forEach(this::execute);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "a background action of the router failed; the actions after it in the same"
                                + " list are skipped",
                        e);
            }
        }
    }

    /**
     * Carries out the action if it concerns a data node; returns false for an action that ends a
     * query.
     */
    private boolean execute(QueryAction action) {
        if (action instanceof QueryAction.Send send) {
            dataNodes.send(send.address(), send.attempts());
        } else if (action instanceof QueryAction.CancelAttempt cancel) {
            dataNodes.cancel(cancel.attempt());
        } else if (action instanceof QueryAction.HealthCheck check) {
            dataNodes.probe(check.nodeName(), check.address());
        } else {
            return false;
        }
        return true;
    }

    @Override
    public QueryAction runToEnd(InFlightQuery query) throws InterruptedException {
        QueryAction last = runActions(query);
        return query.isPaged() && last instanceof QueryAction.Answer answer
                ? paging.completePage(query, answer, fetches -> runFollowUp(query, fetches))
                : last;
    }

    private Optional<PagedQuery> runFollowUp(InFlightQuery first, List<RowFetch> fetches)
            throws InterruptedException {
        Optional<InFlightQuery> followUp = executor.acceptFollowUp(first, fetches);
        if (followUp.isPresent()) {
            runActions(followUp.get());
        }
        return followUp.map(InFlightQuery::pagedQuery);
    }

    private QueryAction runActions(InFlightQuery query) throws InterruptedException {
        QueryAction action = executor.awaitAction(query);
        while (execute(action)) {
            action = executor.awaitAction(query);
        }
        return action;
    }
}
