package postbeam.discovery;

import java.util.function.Consumer;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollTimings;

/** Creates watchers of the endpoint list of the data nodes. */
public final class EndpointListWatch {
    private static final String PATH = "/v1/servers";

    /** Number of nodes of the largest fleet, each with a draining node that it replaces. */
    private static final int MAX_ENDPOINTS = 2 * 3_200;

    /** Indented entries with long names, addresses, shares and start times take 350 bytes. */
    private static final int MAX_ENDPOINT_BYTES = 640;

    private static final int MAX_LIST_BYTES = MAX_ENDPOINTS * MAX_ENDPOINT_BYTES;

    private EndpointListWatch() {}

    /**
     * Creates a watcher without a listener of polls; see {@link #create(String, int, Consumer,
     * PollTimings, PollListener)}.
     */
    public static LongPollWatcher<EndpointUpdate> create(
            String address, int cells, Consumer<EndpointUpdate> onUpdate, PollTimings timings) {
        return create(address, cells, onUpdate, timings, PollListener.NONE);
    }

    /**
     * Creates a watcher of the endpoint list at an address.
     *
     * @param address HOST:PORT of the discovery server or its local agent
     * @param cells number of cells; endpoints name them from 0
     * @param onUpdate receives each complete list or change
     * @param timings request timeouts and the pauses between requests
     * @param pollListener is told how each poll ended
     */
    public static LongPollWatcher<EndpointUpdate> create(
            String address,
            int cells,
            Consumer<EndpointUpdate> onUpdate,
            PollTimings timings,
            PollListener pollListener) {
        return new LongPollWatcher<>(
                new LongPollWatcher.Source("discovery", address, PATH, MAX_LIST_BYTES),
                body -> EndpointListCodec.decode(body, cells, MAX_ENDPOINTS),
                EndpointUpdate::version,
                onUpdate,
                timings,
                pollListener);
    }
}
