package postbeam.layoutservice;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import postbeam.discovery.EndpointListWatch;
import postbeam.discovery.LongPollWatcher;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollTimings;
import postbeam.migration.MigrationLimits;
import postbeam.slices.Layout;
import postbeam.slices.MoveLimits;

/**
 * The one process that moves slices. Wires the parts and owns their threads: {@link
 * LayoutController} keeps the state and carries out what the coordinator decides, {@link
 * LayoutHttpServer} publishes the layout and takes operators' requests, and discovery is followed
 * for the list of data nodes.
 */
public final class LayoutService implements Closeable {
    /**
     * What the service needs to run.
     *
     * @param listen HOST:PORT of the HTTP interface
     * @param log the file of the journal
     * @param discovery HOST:PORT of discovery
     * @param history how many versions back the layout knows the slices of
     * @param limits what moves must keep to
     * @param initialSlices how many slices the first layout has
     * @param initialHolders how many holders each slice of the first layout has
     * @param migrationLimits what migrations must keep to; null switches migrations off
     */
    public record Config(
            String listen,
            Path log,
            String discovery,
            long history,
            MoveLimits limits,
            int initialSlices,
            int initialHolders,
            MigrationLimits migrationLimits) {
        /** A service without migrations. */
        public Config(
                String listen,
                Path log,
                String discovery,
                long history,
                MoveLimits limits,
                int initialSlices,
                int initialHolders) {
            this(listen, log, discovery, history, limits, initialSlices, initialHolders, null);
        }
    }

    private final LayoutController controller;
    private final LayoutHttpServer httpServer;
    private final LongPollWatcher<EndpointUpdate> endpointWatcher;
    private final Thread endpointThread;
    private final Thread movesThread;

    /** A service that does nothing until it is started. */
    public LayoutService(Config config) {
        this(config, layout -> {});
    }

    /** A service whose listener gets each layout before it is published. */
    public LayoutService(Config config, Consumer<Layout> listener) {
        controller = new LayoutController(config, listener);
        httpServer = new LayoutHttpServer(config.listen(), controller);
        endpointWatcher =
                EndpointListWatch.create(
                        config.discovery(),
                        Integer.MAX_VALUE,
                        controller::onEndpointUpdate,
                        PollTimings.RELAXED);
        endpointThread = daemon(endpointWatcher, "discovery");
        movesThread = daemon(controller::runMoves, "moves");
    }

    private static Thread daemon(Runnable body, String name) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Opens the journal where there is one, and begins to serve. Without a journal the first list
     * of nodes begins it.
     *
     * @throws IOException the journal is damaged or in use
     */
    public void start() throws IOException {
        controller.openExistingJournal();
        httpServer.start();
        endpointThread.start();
        movesThread.start();
    }

    /** HOST:PORT that it listens on. */
    public String address() {
        return httpServer.address();
    }

    /**
     * The moves that are under way or finished lately, a line each; for those who run the service
     * in their process.
     */
    public List<String> describeMoves() {
        return controller.describeMoves();
    }

    @Override
    public void close() throws IOException {
        controller.stop();
        endpointWatcher.stop();
        awaitMoves();
        controller.closeConnections();
        // Before the HTTP threads are interrupted: one that writes to the journal then would close
        // it within a record.
        controller.closeJournal();
        httpServer.close();
    }

    private void awaitMoves() {
        try {
            movesThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
