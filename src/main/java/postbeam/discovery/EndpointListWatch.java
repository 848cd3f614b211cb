package postbeam.discovery;

import java.util.function.Consumer;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollTimings;
import postbeam.json.Json;

/** Creates watchers of the endpoint list of the data nodes. */
public final class EndpointListWatch {
    private static final String PATH = "/v1/servers";

    /**
     * Four times the protocol's limit for a body, as a list may be indented and may include
     * draining nodes.
     */
    private static final int MAX_LIST_BYTES = 256 << 10;

    private EndpointListWatch() {}

    /**
     * Creates a watcher that runs no action after a poll; see {@link #create(String, int, Consumer,
     * PollTimings, Runnable)}.
     */
    public static LongPollWatcher<EndpointUpdate> create(
            String address, int cells, Consumer<EndpointUpdate> onUpdate, PollTimings timings) {
        return create(address, cells, onUpdate, timings, () -> {});
    }

    /**
     * Creates a watcher of the endpoint list at an address.
     *
     * @param address HOST:PORT of the discovery server or its local agent
     * @param cells number of cells; endpoints name them from 0
     * @param onUpdate receives each complete list or change
     * @param timings request timeouts and the pauses between requests
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
