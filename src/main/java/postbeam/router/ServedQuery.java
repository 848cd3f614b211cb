package postbeam.router;

import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.QueryAction;

/** A query in flight as the connection of its client uses it. */
final class ServedQuery implements PendingQuery {
    /** Carries out a query's actions. */
    interface QueryRunner {
        /** Runs the query on the calling thread until it ends, and returns its final action. */
        QueryAction runToEnd(InFlightQuery query) throws InterruptedException;
    }

    private final PolicyExecutor executor;
    private final InFlightQuery query;
    private final QueryRunner runner;

    ServedQuery(PolicyExecutor executor, InFlightQuery query, QueryRunner runner) {
        this.executor = executor;
        this.query = query;
        this.runner = runner;
    }

    @Override
    public QueryAction serve() throws InterruptedException {
        return runner.runToEnd(query);
    }

    @Override
    public void clientDisconnected() {
        executor.clientDisconnected(query);
    }

    @Override
    public void setClientCheck(Runnable check) {
        query.setClientCheck(check);
    }
}
