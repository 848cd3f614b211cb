package postbeam.layouts;

import java.util.function.Consumer;
import postbeam.discovery.LongPoll;
import postbeam.roster.Asking;
import postbeam.setup.Json;
import postbeam.slices.Layout;

/** The watch of the layout, for a router; while the service is absent the layout held stays. */
public final class LayoutWatch {
    /** Bytes: some 20,000 slices with the lineage of the last versions. */
    static final int LONGEST = 8 << 20;

    private LayoutWatch() {}

    public static LongPoll<Layout> of(String address, Consumer<Layout> told) {
        return new LongPoll<>(new LongPoll.Source("layouts", address, "/v1/layout", LONGEST),
                body -> LayoutForm.read(Json.object(body)), layout -> layout.version, told, Asking.SOON);
    }
}
