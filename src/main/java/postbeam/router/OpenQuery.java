package postbeam.router;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import postbeam.dispatch.ClientPresence;
import postbeam.pages.Partial;
import postbeam.state.Part;
import postbeam.state.Query;

/** A query that is being served: what its thread has to do next, and the values that are in. */
public final class OpenQuery implements ClientPresence {
    final Asked asked;
    final Query query;
    final Condition changed;
    final Deque<Step> steps = new ArrayDeque<>();
    final List<Call> calls = new ArrayList<>();
    final Map<Part, byte[]> values = new IdentityHashMap<>();

    /** What it has to do with pages; null where none was asked for. */
    final Paged paged;

    /** The layout's version when it was taken; 0 without pages. */
    final long layout;

    /** The parts' rows; empty without pages. */
    final Map<Part, Partial> rows;

    /** What counts of them in the answer. */
    final List<Partial> counted;

    /** Queries that ask again for its page, in turn. */
    final List<OpenQuery> further;

    boolean left;

    /**
     * Looks at the client's connection and says so where the client has left; on the I/O thread.
     */
    private volatile Runnable clientCheck = () -> {};

    OpenQuery(Asked asked, Query query, Condition changed, Paged paged, long layout) {
        this.asked = asked;
        this.query = query;
        this.changed = changed;
        this.paged = paged;
        this.layout = layout;
        this.rows = paged == null ? Map.of() : new IdentityHashMap<>();
        this.counted = paged == null ? List.of() : new ArrayList<>();
        this.further = paged == null ? List.of() : new ArrayList<>();
    }

    /**
     * What looks whether its client has left, to be called on the thread that serves the client's
     * connection.
     */
    public void clientCheck(Runnable check) {
        clientCheck = check;
    }

    void checkedAs(OpenQuery first) {
        clientCheck = first.clientCheck;
    }

    @Override
    public void check() {
        clientCheck.run();
    }

    void add(Step step) {
        steps.add(step);
        changed.signal();
    }
}
