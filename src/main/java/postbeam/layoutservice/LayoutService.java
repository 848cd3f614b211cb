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
 * The service that moves slices and publishes the layout; one process runs it per installation.
 * Connects the components and owns their threads: {@link LayoutController} keeps the state and
 * executes the decisions of the coordinator, {@link LayoutHttpServer} serves the layout and the
 * requests of operators, and a watch on discovery supplies the list of data nodes.
 */
public final class LayoutService implements Closeable {
    /**
     * The configuration of the service.
     *
     * @param listen HOST:PORT of the HTTP interface
     * @param journalFile the journal file
     * @param discovery HOST:PORT of discovery
     * @param history for how many past versions the layout keeps the retired slices
     * @param limits the limits of moves
     * @param initialSlices how many slices the first layout has
     * @param initialHolders how many holders each slice of the first layout has
     * @param migrationLimits the limits of migrations; null switches migrations off
     */
    public record Config(
            String listen,
            Path journalFile,
            String discovery,
            long history,
            MoveLimits limits,
            int initialSlices,
            int initialHolders,
            MigrationLimits migrationLimits) {
        /** Creates a configuration that switches migrations off. */
        public Config(
                String listen,
                Path journalFile,
                String discovery,
                long history,
                MoveLimits limits,
                int initialSlices,
                int initialHolders) {
            this(
                    listen,
                    journalFile,
                    discovery,
                    history,
                    limits,
                    initialSlices,
                    initialHolders,
                    null);
        }
    }

    private final LayoutController controller;
    private final LayoutHttpServer httpServer;
    private final LongPollWatcher<EndpointUpdate> endpointWatcher;
    private final Thread endpointThread;
    private final Thread movesThread;

    /** Creates a service, which does nothing until it is started. */
    public LayoutService(Config config) {
        this(config, layout -> {});
    }

    /** Creates a service whose listener receives each layout before it is published. */
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
     * Opens the journal if its file exists, and starts to serve. Otherwise the first endpoint list
     * with enough ready nodes creates the journal.
     *
     * @throws IOException the journal is damaged or in use
     */
    public void start() throws IOException {
        controller.openExistingJournal();
        httpServer.start();
        endpointThread.start();
        movesThread.start();
    }

    /** The HOST:PORT that the service listens on. */
    public String address() {
        return httpServer.address();
    }

    /**
     * Describes the active and the recently finished moves, one line each; for callers that run the
     * service in their own process.
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
        // Closes the journal before the HTTP threads are interrupted: an interrupt during a write
        // would close the file in the middle of a record.
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
