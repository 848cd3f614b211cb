package postbeam.slices;

/**
 * The state of a move. Up to {@link #FENCED} the old layout is in force, from {@link #CUT_OVER} the
 * new one. Operators and the journal see separately defined names, not those of the constants.
 */
public enum MoveState {
    /** Waiting until its nodes and the limits allow it to start. */
    PLANNED("planned"),
    /** The destinations are copying the data. */
    COPYING("copying"),
    /** The destinations have all data and are kept up to date; the old holders still serve. */
    REPLICATING("holding both"),
    /**
     * The old holders accept no new calls and finish the accepted ones; then the destinations may
     * serve.
     */
    FENCED("fenced"),
    /** The new layout is in force; the old holders drop their data. */
    CUT_OVER("cut over"),
    /** Finished under the new layout. */
    COMPLETED("forgotten"),
    /** Being rolled back to the old layout. */
    ABANDONING("abandoning"),
    /** Finished with the old layout, under a higher version. */
    ABANDONED("abandoned");

    private final String text;

    MoveState(String text) {
        this.text = text;
    }

    /** The name in logs and texts for operators; it stays when a constant is renamed. */
    public String text() {
        return text;
    }

    /** Whether a move in this state is finished. */
    public boolean isFinal() {
        return this == COMPLETED || this == ABANDONED;
    }
}
