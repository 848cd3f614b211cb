package postbeam.router;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.errors.OperatorErrorException;
import postbeam.model.Attempt;
import postbeam.model.ShardRequest;
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
import postbeam.slices.Layout;
import postbeam.slices.LayoutCompleteness;

/**
 * The paging state of a query: the fetches that its attempts carry and the rows that were returned.
 * A follow-up query has its own instance, which shares the assembler.
 *
 * <p>Rows are recorded under the lock of {@link PolicyExecutor}; the query's thread reads them
 * after the query has ended.
 */
final class PagedQuery {
    private static final System.Logger LOG = System.getLogger(PagedQuery.class.getName());

    private final PageAssembler assembler;
    private final List<RowFetch> fetches;
    private final long currentLayoutVersion;
    private final long layoutVersion;
    private final List<LayoutCompleteness.RequestedSlice> requestedSlices;

    /** The query's payload, followed by the encoded fetches. */
    private final byte[] payload;

    private final int fetchBytes;
    private final IdentityHashMap<ShardRequest, PartialPage> partialPages = new IdentityHashMap<>();
    private final List<PartialPage> includedPages = new ArrayList<>();

    /**
     * Creates the paging state of a query.
     *
     * @param currentLayoutVersion version of the layout in force
     * @param layoutVersion version of the layout by which the slices are named: the one that the
     *     client states or else the one in force
     */
    PagedQuery(
            PageAssembler assembler,
            List<RowFetch> fetches,
            long currentLayoutVersion,
            long layoutVersion,
            List<LayoutCompleteness.RequestedSlice> requestedSlices,
            byte[] queryPayload) {
        this.assembler = assembler;
        this.fetches = fetches;
        this.currentLayoutVersion = currentLayoutVersion;
        this.layoutVersion = layoutVersion;
        this.requestedSlices = requestedSlices;
        byte[] fetchRequest = RowCodec.encodeFetchRequest(assembler.sortOrder(), fetches);
        this.fetchBytes = fetchRequest.length;
        this.payload = Arrays.copyOf(queryPayload, queryPayload.length + fetchBytes);
        System.arraycopy(fetchRequest, 0, payload, queryPayload.length, fetchBytes);
    }

    /** Creates the paging state of a follow-up query for the same page. */
    PagedQuery followUp(
            List<RowFetch> followUpFetches,
            Layout layout,
            List<LayoutCompleteness.RequestedSlice> slices) {
        byte[] queryPayload = Arrays.copyOf(payload, payload.length - fetchBytes);
        return new PagedQuery(
                assembler, followUpFetches, layout.version, layout.version, slices, queryPayload);
    }

    long layoutVersion() {
        return layoutVersion;
    }

    List<LayoutCompleteness.RequestedSlice> requestedSlices() {
        return requestedSlices;
    }

    /** The payload of each attempt. */
    byte[] payload() {
        return payload;
    }

    /** Creates an attempt that is answered with rows of this page. */
    DispatchedAttempt createAttempt(
            InFlightQuery query,
            Attempt attempt,
            String id,
            String headerFields,
            long deadlineNanos) {
        return new PagedAttempt(
                query, attempt, id, headerFields + ",p=" + fetchBytes, deadlineNanos, this);
    }

    /**
     * Decodes the rows that a node returned for these keys; returns empty and logs a warning if
     * they are malformed.
     */
    Optional<PartialPage> decodeRows(String attemptId, KeyRange keys, byte[] value) {
        String problem;
        try {
            PartialPage partialPage = RowCodec.decodePartialPage(keys, value);
            Optional<String> found = partialPage.findProblem(assembler.sortOrder(), fetches);
            if (found.isEmpty()) {
                return Optional.of(partialPage);
            }
            problem = found.get();
        } catch (IOException e) {
            problem = firstEncodableLine(e);
        }
        LOG.log(
                System.Logger.Level.WARNING,
                new PageError.InvalidRows(attemptId, problem).message());
        return Optional.empty();
    }

    /**
     * Returns the first line of the message. The message may quote bytes of a node: encoding it
     * replaces lone surrogates, which must not reach the log.
     */
    private static String firstEncodableLine(IOException e) {
        byte[] encoded = e.getMessage().getBytes(StandardCharsets.UTF_8);
        return new String(encoded, StandardCharsets.UTF_8).lines().findFirst().orElse("");
    }

    /** Records the rows of a shard request. Only the first success counts. */
    void recordRows(AttemptResult result) {
        PagedAttempt attempt = (PagedAttempt) result.attempt();
        partialPages.putIfAbsent(attempt.policyAttempt.shardRequest, attempt.rows());
    }

    /** Marks the rows of this request as part of the answer. */
    void includeRows(ShardRequest request) {
        includedPages.add(partialPages.get(request));
    }

    /**
     * Adds the rows of a query that has ended, this one or a follow-up, to the page.
     *
     * @return the fetches that the page still needs
     */
    List<RowFetch> addRowsOf(PagedQuery ended) {
        ended.includedPages.forEach(assembler::add);
        return assembler.followUpFetches();
    }

    /** Completes the page from all rows that were added, with a cursor if more rows follow. */
    PageResult finish(CursorCodec cursorCodec, long queryDigest) throws OperatorErrorException {
        Page page = assembler.finish();
        String cursor =
                page.remaining().isEmpty()
                        ? null
                        : cursorCodec.encode(
                                new Cursor(currentLayoutVersion, queryDigest, page.remaining()));
        return new PageResult(page, cursor);
    }
}
