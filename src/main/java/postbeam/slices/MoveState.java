package postbeam.slices;

/**
 * How far a move has come. Up to {@link #FENCED} the old layout is in force, from {@link #CUT_OVER}
 * on the new one. Operators and the journal have names of their own for these.
 */
public enum MoveState {
    /** Waits until its nodes and the limits allow it to start. */
    PLANNED("planned"),
    /** The destinations copy the data. */
    COPYING("copying"),
    /** The destinations hold all data and are kept up to date; the old holders still serve. */
    REPLICATING("holding both"),
    /**
     * The old holders accept no new calls and finish what they have; then the destinations are let
     * serve.
     */
    FENCED("fenced"),
    /** The new layout is published; the old holders drop the data. */
    CUT_OVER("cut over"),
    /** All is done. */
    COMPLETED("forgotten"),
    /** On the way back to the old layout. */
    ABANDONING("abandoning"),
    /** Back at the old layout, under a higher version. */
    ABANDONED("abandoned");

    private final String text;

    MoveState(String text) {
        this.text = text;
    }

    /** As operators and logs read it; it stays when a constant is renamed. */
    public String text() {
        return text;
    }

    /** Whether the move is over. */
    public boolean isFinal() {
        return this == COMPLETED || this == ABANDONED;
    }
}
