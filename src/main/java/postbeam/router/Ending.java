package postbeam.router;

import postbeam.state.Outcome;

/** How a leaf call ended, and what the node gave where it merged. */
public record Ending(Call call, Outcome outcome, byte[] value) {
    public Ending(Call call, Outcome outcome) {
        this(call, outcome, null);
    }
}
