package postbeam.router;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import postbeam.errors.ExplainedException;
import postbeam.pages.Ask;
import postbeam.pages.Assembly;
import postbeam.pages.Cursor;
import postbeam.pages.CursorSeal;
import postbeam.pages.Page;
import postbeam.pages.PageError;
import postbeam.pages.PageGiven;
import postbeam.pages.Partial;
import postbeam.pages.RowForm;
import postbeam.slices.KeyRange;
import postbeam.slices.Pin;
import postbeam.state.LeafCall;

/**
 * One page on its way: what its parts are asked, what they gave, and the page at the end. A further
 * ask is one of its own over the same assembly.
 */
final class Paged {
    private static final System.Logger LOG = System.getLogger(Paged.class.getName());

    private final Assembly assembly;
    private final List<Ask> asks;

    /** The layout's version by which the parts are named, and how. */
    final long version;

    final List<Pin.Named> named;

    /** What the parts carry: the query's text and, in its last bytes, the ask. */
    final byte[] text;

    final int askBytes;

    /** What came, once the query that asked for it is over. */
    final List<Partial> came = new ArrayList<>();

    Paged(
            Assembly assembly,
            List<Ask> asks,
            long version,
            List<Pin.Named> named,
            byte[] queryText) {
        this.assembly = assembly;
        this.asks = asks;
        this.version = version;
        this.named = named;
        byte[] ask = RowForm.asked(assembly.order(), asks);
        this.askBytes = ask.length;
        this.text = Arrays.copyOf(queryText, queryText.length + ask.length);
        System.arraycopy(ask, 0, text, queryText.length, ask.length);
    }

    /** An attempt whose answer is rows of this page. */
    Call call(OpenQuery query, LeafCall leaf, String id, String more, long untilNanos) {
        return new PagedCall(query, leaf, id, more, untilNanos, this);
    }

    /** A further ask of the same page, with the text of the query itself. */
    Paged further(List<Ask> next, long heldVersion, List<Pin.Named> names) {
        return new Paged(
                assembly, next, heldVersion, names, Arrays.copyOf(text, text.length - askBytes));
    }

    /** What a part gave; null where it is spoilt, which is told in the log. */
    Partial read(String part, KeyRange keys, byte[] value) {
        String problem;
        try {
            Partial partial = RowForm.partial(keys, value);
            problem = partial.problem(assembly.order(), asks);
            if (problem == null) {
                return partial;
            }
        } catch (IOException e) {
            problem =
                    new String(
                                    e.getMessage().getBytes(StandardCharsets.UTF_8),
                                    StandardCharsets.UTF_8)
                            .lines()
                            .findFirst()
                            .orElse("");
        }
        LOG.log(System.Logger.Level.WARNING, new PageError.Spoilt(part, problem).line());
        return null;
    }

    /** Takes over what came; what to ask again, none where the page is as full as it gets. */
    List<Ask> next(Paged round) {
        round.came.forEach(assembly::took);
        return assembly.further();
    }

    PageGiven end(CursorSeal seal, long layout, long query) throws ExplainedException {
        Page page = assembly.end();
        return new PageGiven(
                page,
                page.next().isEmpty() ? null : seal.sealed(new Cursor(layout, query, page.next())));
    }
}
