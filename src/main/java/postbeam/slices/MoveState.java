package postbeam.slices;

/**
 * Where a move stands. Up to FENCED the old layout is in force; from CUT_OVER on the new one is.
 */
public enum MoveState {
    /** Waits until its nodes and the limits allow it to begin. */
    PLANNED("planned"),
    /** Those who gain a slice copy its data. */
    COPYING("copying"),
    /** Those who gain hold all of it and are kept up to date; the old holders still serve. */
    REPLICATING("holding both"),
    /**
     * The old holders take nothing new for it and finish what they have; then the new ones are let
     * serve.
     */
    FENCED("fenced"),
    /** The new layout is told; the old holders let go. */
    CUT_OVER("cut over"),
    /** All is done. */
    COMPLETED("forgotten"),
    /** On the way back to the old layout. */
    ABANDONING("abandoning"),
    /** Back under a higher version. */
    ABANDONED("abandoned");

    private final String text;

    MoveState(String text) {
        this.text = text;
    }

    /** As operators and logs read it; it stays when a constant is renamed. */
    public String text() {
        return text;
    }

    public boolean isFinal() {
        return this == COMPLETED || this == ABANDONED;
    }
}
