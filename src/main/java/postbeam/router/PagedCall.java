package postbeam.router;

import postbeam.dispatch.ClientPresence;
import postbeam.pages.Partial;
import postbeam.slices.Piece;
import postbeam.state.LeafCall;
import postbeam.state.Outcome;

/** An attempt whose answer is rows of a page. */
final class PagedCall extends Call {
    /** Reads the rows. */
    final Paged paged;

    /** What was read; null until then, and where the rows are malformed. */
    Partial rows;

    PagedCall(
            ClientPresence client,
            LeafCall leaf,
            String id,
            String more,
            long untilNanos,
            Paged paged) {
        super(client, leaf, id, more, paged.text, untilNanos);
        this.paged = paged;
    }

    /** Reads the rows of an attempt that succeeded; malformed ones make it an error of the node. */
    static Ending read(Ending ending) {
        if (!(ending.call() instanceof PagedCall call) || ending.outcome() != Outcome.MERGED) {
            return ending;
        }
        call.rows = call.paged.read(call.id, ((Piece) call.leaf.part).keys, ending.value());
        return new Ending(call, call.rows == null ? Outcome.ERROR : Outcome.MERGED);
    }

    /** What was read of a call for a page. */
    static Partial rows(Call call) {
        return ((PagedCall) call).rows;
    }
}
