package postbeam.policy;

import postbeam.model.Attempt;

/** Health of a zone: of its data nodes and of the network path to them. */
final class ZoneHealth extends HealthRecord {
    /** The attempt that tests whether an ejected zone has recovered; null before the first one. */
    private Attempt trialAttempt;

    void beginTrial(Attempt attempt) {
        trialAttempt = attempt;
    }

    boolean isTrial(Attempt attempt) {
        return attempt == trialAttempt;
    }

    boolean isOnTrial() {
        return trialAttempt != null && !trialAttempt.hasEnded();
    }
}
