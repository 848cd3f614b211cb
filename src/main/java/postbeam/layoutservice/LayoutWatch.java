package postbeam.layoutservice;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import postbeam.discovery.LongPollWatcher;
import postbeam.endpoints.PollTimings;
import postbeam.json.Json;
import postbeam.slices.Layout;

/**
 * Watches the published layout by long polling. While the layout service is unreachable, a router
 * keeps the layout that it has.
 */
public final class LayoutWatch {
    /** Large enough for about 20,000 slices with the retired slices of past versions. */
    static final int MAX_LAYOUT_BYTES = 8 << 20;

    /** Query parameter: the router's name. */
    static final String ROUTER_PARAMETER = "router";

    /** Query parameter: the version that the router currently uses. */
    static final String HELD_VERSION_PARAMETER = "held";

    private LayoutWatch() {}

    /**
     * Returns the query parameters with which a router sends its name and the layout version it
     * uses.
     *
     * @param version the version in use; 0 for none
     */
    public static String queryParameters(String router, long version) {
        return ROUTER_PARAMETER
                + "="
                + URLEncoder.encode(router, StandardCharsets.UTF_8)
                + "&"
                + HELD_VERSION_PARAMETER
                + "="
                + version;
    }

    /** Creates a watch whose requests do not identify a router. */
    public static LongPollWatcher<Layout> of(String address, Consumer<Layout> listener) {
        return of(address, listener, () -> "");
    }

    /**
     * Creates a watch that sends query parameters with each request.
     *
     * @param address HOST:PORT of the layout service
     * @param listener receives each new layout
     * @param queryParameters see {@link #queryParameters}
     */
    public static LongPollWatcher<Layout> of(
            String address, Consumer<Layout> listener, Supplier<String> queryParameters) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source(
                        "layouts", address, "/v1/layout", MAX_LAYOUT_BYTES, false, queryParameters),
                body -> LayoutCodec.read(Json.parseObject(body)),
                layout -> layout.version,
                listener,
                PollTimings.RELAXED);
    }
}
