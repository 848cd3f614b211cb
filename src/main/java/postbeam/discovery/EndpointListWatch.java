package postbeam.discovery;

import java.util.function.Consumer;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollTimings;
import postbeam.json.Json;

/** The watch of the endpoint list of data nodes. */
public final class EndpointListWatch {
    private static final String PATH = "/v1/servers";

    /**
     * Bytes: four times the protocol's limit for a body, as lists may come indented with draining
     * nodes.
     */
    private static final int MAX_LIST_BYTES = 256 << 10;

    private EndpointListWatch() {}

    /**
     * As {@link #create(String, int, Consumer, PollTimings, Runnable)}, with nothing run after
     * polls.
     */
    public static LongPollWatcher<EndpointUpdate> create(
            String address, int cells, Consumer<EndpointUpdate> onUpdate, PollTimings timings) {
        return create(address, cells, onUpdate, timings, () -> {});
    }

    /**
     * A watcher of the list at the address.
     *
     * @param address HOST:PORT of discovery or its agent
     * @param cells endpoints may be in, numbered from 0
     * @param onPollDone run after each poll, whether it succeeded or failed
     */
    public static LongPollWatcher<EndpointUpdate> create(
            String address,
            int cells,
            Consumer<EndpointUpdate> onUpdate,
            PollTimings timings,
            Runnable onPollDone) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source("discovery", address, PATH, MAX_LIST_BYTES),
                body -> EndpointListCodec.decode(Json.parseObject(body), cells),
                EndpointUpdate::version,
                onUpdate,
                timings,
                onPollDone);
    }
}
