package postbeam.layouts;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;
import postbeam.discovery.LongPoll;
import postbeam.roster.DiscoveryPacing;
import postbeam.setup.Json;
import postbeam.slices.Layout;

/** The watch of the layout, for a router; while the service is absent the layout held stays. */
public final class LayoutWatch {
    /** Bytes: some 20,000 slices with the lineage of the last versions. */
    static final int LONGEST = 8 << 20;

    static final String ROUTER = "router";
    static final String HELD = "held";

    private LayoutWatch() {}

    /** What a router of this name says with each question that holds this version, 0 for none. */
    public static String says(String router, long version) {
        return ROUTER
                + "="
                + URLEncoder.encode(router, StandardCharsets.UTF_8)
                + "&"
                + HELD
                + "="
                + version;
    }

    public static LongPoll<Layout> of(String address, Consumer<Layout> told) {
        return of(address, told, () -> "");
    }

    /** A router that says at each question who it is and which layout it holds: {@link #says}. */
    public static LongPoll<Layout> of(
            String address, Consumer<Layout> told, Supplier<String> says) {
        return new LongPoll<>(
                new LongPoll.Source("layouts", address, "/v1/layout", LONGEST, says),
                body -> LayoutForm.read(Json.object(body)),
                layout -> layout.version,
                told,
                DiscoveryPacing.SOON);
    }
}
