package postbeam.router;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import postbeam.state.Part;
import postbeam.state.Query;

/** A query that is being served: what its thread has to do next, and the values that are in. */
public final class OpenQuery {
    final Asked asked;
    final Query query;
    final Condition changed;
    final Deque<Step> steps = new ArrayDeque<>();
    final List<Call> calls = new ArrayList<>();
    final Map<Part, byte[]> values = new IdentityHashMap<>();

    OpenQuery(Asked asked, Query query, Condition changed) {
        this.asked = asked;
        this.query = query;
        this.changed = changed;
    }

    void add(Step step) {
        steps.add(step);
        changed.signal();
    }
}
