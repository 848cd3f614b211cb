package postbeam.router;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.errors.OperatorErrorException;
import postbeam.model.Attempt;
import postbeam.pages.Cursor;
import postbeam.pages.CursorCodec;
import postbeam.pages.Page;
import postbeam.pages.PageAssembler;
import postbeam.pages.PageError;
import postbeam.pages.PageResult;
import postbeam.pages.PartialPage;
import postbeam.pages.RowCodec;
import postbeam.pages.RowFetch;
import postbeam.slices.KeyRange;
import postbeam.slices.LayoutCompleteness;

/**
 * One page on its way: what its parts are asked, what they gave, and the page at the end. A further
 * ask is one of its own over the same assembly.
 */
final class PagedQuery {
    private static final System.Logger LOG = System.getLogger(PagedQuery.class.getName());

    private final PageAssembler assembly;
    private final List<RowFetch> fetches;

    /** The layout's version by which the parts are named, and how. */
    final long layoutVersion;

    final List<LayoutCompleteness.RequestedSlice> namedRanges;

    /** What the parts carry: the query's text and, in its last bytes, the ask. */
    final byte[] payload;

    final int fetchBytes;

    /** What came, once the query that asked for it is over. */
    final List<PartialPage> received = new ArrayList<>();

    PagedQuery(
            PageAssembler assembly,
            List<RowFetch> asks,
            long version,
            List<LayoutCompleteness.RequestedSlice> named,
            byte[] queryText) {
        this.assembly = assembly;
        this.fetches = asks;
        this.layoutVersion = version;
        this.namedRanges = named;
        byte[] ask = RowCodec.fetchRequest(assembly.sortOrder(), asks);
        this.fetchBytes = ask.length;
        this.payload = Arrays.copyOf(queryText, queryText.length + ask.length);
        System.arraycopy(ask, 0, payload, queryText.length, ask.length);
    }

    /** An attempt whose answer is rows of this page. */
    DispatchedAttempt attempt(
            InFlightQuery query, Attempt attempt, String id, String more, long untilNanos) {
        return new PagedAttempt(query, attempt, id, more, untilNanos, this);
    }

    /** A further ask of the same page, with the text of the query itself. */
    PagedQuery followUp(
            List<RowFetch> next, long heldVersion, List<LayoutCompleteness.RequestedSlice> names) {
        return new PagedQuery(
                assembly,
                next,
                heldVersion,
                names,
                Arrays.copyOf(payload, payload.length - fetchBytes));
    }

    /** What a part gave; null where it is spoilt, which is told in the log. */
    PartialPage readRows(String part, KeyRange keys, byte[] value) {
        String problem;
        try {
            PartialPage partial = RowCodec.partialPage(keys, value);
            problem = partial.findProblem(assembly.sortOrder(), fetches);
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
        LOG.log(System.Logger.Level.WARNING, new PageError.InvalidRows(part, problem).message());
        return null;
    }

    /** Takes over what came; what to ask again, none where the page is as full as it gets. */
    List<RowFetch> nextFetches(PagedQuery round) {
        round.received.forEach(assembly::add);
        return assembly.followUpFetches();
    }

    PageResult finish(CursorCodec seal, long layout, long query) throws OperatorErrorException {
        Page page = assembly.finish();
        return new PageResult(
                page,
                page.remaining().isEmpty()
                        ? null
                        : seal.encode(new Cursor(layout, query, page.remaining())));
    }
}
