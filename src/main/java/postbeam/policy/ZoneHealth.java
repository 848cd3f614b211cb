package postbeam.policy;

import postbeam.model.Attempt;

/** The health of a zone: of its nodes together, and of the way there. */
final class ZoneHealth extends HealthRecord {
    /** The one attempt that shows whether an ejected zone is sound again; null before one. */
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
