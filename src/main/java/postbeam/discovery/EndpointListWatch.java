package postbeam.discovery;

import java.util.function.Consumer;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollSchedule;
import postbeam.json.Json;

/** The watch of the data-node list. */
public final class EndpointListWatch {
    /**
     * Bytes: four times the protocol's limit for a body, as lists may come indented with nodes that
     * leave in them.
     */
    private static final int MAX_LIST_BYTES = 256 << 10;

    private EndpointListWatch() {}

    public static LongPollWatcher<EndpointUpdate> create(
            String address,
            int cells,
            Consumer<EndpointUpdate> told,
            PollSchedule.PollTimings pace) {
        return create(address, cells, told, pace, () -> {});
    }

    /** The last is run after each call, whether it told or failed. */
    public static LongPollWatcher<EndpointUpdate> create(
            String address,
            int cells,
            Consumer<EndpointUpdate> told,
            PollSchedule.PollTimings pace,
            Runnable followed) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source("discovery", address, "/v1/servers", MAX_LIST_BYTES),
                body -> EndpointListCodec.decode(Json.parseObject(body), cells),
                EndpointUpdate::version,
                told,
                pace,
                followed);
    }
}
