package postbeam.state;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/** A data node as this router knows it. */
public final class DataNode extends Health {
    public final int cell;
    public final Zone zone;
    private Readiness readiness = Readiness.READY;
    private Duration startedAt;

    /** When it last could not be reached, unless it is known to have started since; null: never. */
    public Duration downAt;

    /** The leaf calls without an outcome yet, oldest first. */
    public final Set<LeafCall> out = new LinkedHashSet<>();

    /** What it was lately sent, in seconds of work; set up by the one who measures. */
    public TimeRing workSent;

    /** The same for shards it has lately taken over from others; null until there are such. */
    public TimeRing takenSent;

    /** Drawn from 0 to 1 when it was first listed; set up by the one who measures. */
    public double lot;

    /** Smoothed time of its answers beside the quiet time of their vertical; 0 before the first. */
    public double slowness;

    public Duration lastAnswerAt;

    /** When the last sent of its answered calls was sent. */
    public Duration answeredSentAt;

    /** When its zone last counted it. */
    public Duration countedAt;

    /** A probe is out. */
    public boolean probing;

    public DataNode(int cell, Zone zone) {
        this.cell = cell;
        this.zone = zone;
    }

    /** What the endpoint list says of it. */
    public Readiness readiness() {
        return readiness;
    }

    /** When it last started, by the endpoint list; null: not known, or long ago. */
    public Duration startedAt() {
        return startedAt;
    }

    /** The endpoint list says this of it. */
    public void update(Readiness readiness, Duration startedAt) {
        this.readiness = readiness;
        this.startedAt = startedAt;
    }

    /**
     * From when on it may have been cold: the list tells of a start late. Null: not known, or long
     * ago.
     */
    public Duration coldSince() {
        return downAt == null || startedAt != null && startedAt.compareTo(downAt) > 0
                ? startedAt
                : downAt;
    }

    /** Calls out, where parts sent in one turn count as one. */
    public int callsOut() {
        int calls = 0;
        Duration last = null;
        for (LeafCall call : out) {
            if (!call.sentAt.equals(last)) {
                calls++;
                last = call.sentAt;
            }
        }
        return calls;
    }

    public LeafCall oldestOut() {
        return out.isEmpty() ? null : out.iterator().next();
    }

    public boolean answeredSince(Duration since) {
        return lastAnswerAt != null && lastAnswerAt.compareTo(since) >= 0;
    }

    /** It has answered a call sent then. */
    public void answered(Duration now, Duration sentAt) {
        lastAnswerAt = now;
        if (answeredSentAt == null || answeredSentAt.compareTo(sentAt) < 0) {
            answeredSentAt = sentAt;
        }
    }
}
