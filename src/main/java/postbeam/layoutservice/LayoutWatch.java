package postbeam.layoutservice;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import postbeam.discovery.LongPollWatcher;
import postbeam.endpoints.PollTimings;
import postbeam.json.Json;
import postbeam.slices.Layout;

/** The watch of the layout, for a router; while the service is absent the layout held stays. */
public final class LayoutWatch {
    /** Bytes: some 20,000 slices with the lineage of the last versions. */
    static final int MAX_LAYOUT_BYTES = 8 << 20;

    static final String ROUTER = "router";
    static final String HELD = "held";

    private LayoutWatch() {}

    /** What a router of this name says with each question that holds this version, 0 for none. */
    public static String queryParameters(String router, long version) {
        return ROUTER
                + "="
                + URLEncoder.encode(router, StandardCharsets.UTF_8)
                + "&"
                + HELD
                + "="
                + version;
    }

    public static LongPollWatcher<Layout> of(String address, Consumer<Layout> told) {
        return of(address, told, () -> "");
    }

    /**
     * A router that says at each question who it is and which layout it holds: {@link
     * #queryParameters}.
     */
    public static LongPollWatcher<Layout> of(
            String address, Consumer<Layout> told, Supplier<String> says) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source(
                        "layouts", address, "/v1/layout", MAX_LAYOUT_BYTES, says),
                body -> LayoutCodec.read(Json.parseObject(body)),
                layout -> layout.version,
                told,
                PollTimings.RELAXED);
    }
}
