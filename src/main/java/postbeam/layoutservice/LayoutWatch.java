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
 * How a router follows the layout, by long polling; while the service is absent the router keeps
 * the layout it has.
 */
public final class LayoutWatch {
    /** Bytes: some 20,000 slices with the history of the last versions. */
    static final int MAX_LAYOUT_BYTES = 8 << 20;

    /** Query parameter: the router's name. */
    static final String ROUTER = "router";

    /** Query parameter: the version that the router holds. */
    static final String HELD = "held";

    private LayoutWatch() {}

    /**
     * The query parameters by which a router says who it is and which layout it holds.
     *
     * @param version the version held; 0 for none
     */
    public static String queryParameters(String router, long version) {
        return ROUTER
                + "="
                + URLEncoder.encode(router, StandardCharsets.UTF_8)
                + "&"
                + HELD
                + "="
                + version;
    }

    /** A watch that does not say who asks. */
    public static LongPollWatcher<Layout> of(String address, Consumer<Layout> listener) {
        return of(address, listener, () -> "");
    }

    /**
     * A watch that sends query parameters with each request.
     *
     * @param address HOST:PORT of the layout service
     * @param listener gets each new layout
     * @param queryParameters see {@link #queryParameters}
     */
    public static LongPollWatcher<Layout> of(
            String address, Consumer<Layout> listener, Supplier<String> queryParameters) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source(
                        "layouts", address, "/v1/layout", MAX_LAYOUT_BYTES, queryParameters),
                body -> LayoutCodec.read(Json.parseObject(body)),
                layout -> layout.version,
                listener,
                PollTimings.RELAXED);
    }
}
