package postbeam.slices;

/** Where a move stands. Up to FENCED the old layout is in force; from CUT_OVER on the new one is. */
public enum MoveState {
    /** Waits until its nodes and the limits allow it to begin. */
    PLANNED,
    /** Those who gain a slice copy its data. */
    COPYING,
    /** Those who gain hold all of it and are kept up to date; the old holders still serve. */
    HOLDING_BOTH,
    /** The old holders take nothing new for it and finish what they have; then the new ones are let serve. */
    FENCED,
    /** The new layout is told; the old holders let go. */
    CUT_OVER,
    /** All is done. */
    FORGOTTEN,
    /** On the way back to the old layout. */
    ABANDONING,
    /** Back under a higher version. */
    ABANDONED;

    public boolean over() {
        return this == FORGOTTEN || this == ABANDONED;
    }
}
