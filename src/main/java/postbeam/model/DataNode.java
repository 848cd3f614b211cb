package postbeam.model;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/** A data node as this router knows it. */
public final class DataNode extends HealthState {
    public final int cell;
    public final Zone zone;
    private Readiness readiness = Readiness.READY;
    private Duration startedAt;

    /** When it last could not be reached, unless it is known to have started since; null: never. */
    public Duration unreachableAt;

    /** The leaf calls without an outcome yet, oldest first. */
    public final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();

    /** What it was lately sent, in seconds of work; set up by the one who measures. */
    public SlidingWindowCounter recentWorkSent;

    /** The same for shards it has lately taken over from others; null until there are such. */
    public SlidingWindowCounter recentWorkOnAcquiredShards;

    /** Drawn from 0 to 1 when it was first listed; set up by the one who measures. */
    public double samplingThreshold;

    /** Smoothed time of its answers beside the quiet time of their vertical; 0 before the first. */
    public double slowdown;

    public Duration lastAnsweredAt;

    /** When the last sent of its answered calls was sent. */
    public Duration latestAnsweredSendTime;

    /** When its zone last counted it. */
    public Duration countedByZoneAt;

    /** A probe is out. */
    public boolean probeInFlight;

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
    public Duration warmingUpSince() {
        return unreachableAt == null || startedAt != null && startedAt.compareTo(unreachableAt) > 0
                ? startedAt
                : unreachableAt;
    }

    /** Calls out, where parts sent in one turn count as one. */
    public int batchesInFlight() {
        int calls = 0;
        Duration last = null;
        for (Attempt attempt : attemptsInFlight) {
            if (!attempt.sentAt.equals(last)) {
                calls++;
                last = attempt.sentAt;
            }
        }
        return calls;
    }

    public Attempt oldestAttemptInFlight() {
        return attemptsInFlight.isEmpty() ? null : attemptsInFlight.iterator().next();
    }

    public boolean hasAnsweredSince(Duration since) {
        return lastAnsweredAt != null && lastAnsweredAt.compareTo(since) >= 0;
    }

    /** It has answered a call sent then. */
    public void recordAnswer(Duration now, Duration sentAt) {
        lastAnsweredAt = now;
        if (latestAnsweredSendTime == null || latestAnsweredSendTime.compareTo(sentAt) < 0) {
            latestAnsweredSendTime = sentAt;
        }
    }
}
