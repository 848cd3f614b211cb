package postbeam.layoutservice;

import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import postbeam.endpoints.EndpointUpdate;
import postbeam.errors.OperatorErrorException;
import postbeam.migration.MigrationAction;
import postbeam.migration.MigrationError;
import postbeam.migration.MigrationJournalState;
import postbeam.migration.MigrationManager;
import postbeam.migration.RangeDigest;
import postbeam.slices.Coordinator;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;
import postbeam.slices.JournalRecord;
import postbeam.slices.Layout;
import postbeam.slices.MoveJournalState;
import postbeam.slices.SlicePlacement;
import postbeam.slices.TargetLayout;

/**
 * Owner of the layout service's state: the journal and what its records add up to, the coordinator,
 * the migrations, the published layout and the requests that wait for a newer one. Its monitor is
 * the one lock over all of it, taken by whichever thread brings something: HTTP, discovery, a data
 * node's connection or "moves". Nothing waits for a peer under the lock, only for the disk. Only
 * {@link #stopped} is read and set without it.
 *
 * <p>An action that follows a record is done once that record is on disk. Where a record can't be
 * written, or another process has taken the journal over, no further move is decided in this
 * process; the layout that was published last stays published, and a restart goes on from what is
 * on disk.
 */
final class LayoutController {
    private static final System.Logger LOG = System.getLogger(LayoutController.class.getName());

    /** Between two looks at the moves while nothing happens. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final LayoutService.Config config;
    private final MoveJournalState state;
    private final Coordinator coordinator;
    private final HandoffClient handoffClient;
    private final EndpointDirectory endpoints = new EndpointDirectory();
    private final LayoutPublisher publisher;
    private final LayoutRequestHandler layoutRequests;

    /** Null until the journal is open. */
    private MoveJournal journal;

    /** Null until the journal is open, and where migrations are switched off. */
    private MigrationHandler migrations;

    private boolean wakeRequested;
    private volatile boolean stopped;

    /** The service ends: nobody waits for it any more. */
    private boolean closing;

    /** The listener gets each layout before it is published. */
    LayoutController(LayoutService.Config config, Consumer<Layout> listener) {
        this.config = config;
        this.state = new MoveJournalState(config.history());
        this.coordinator = new Coordinator(state, config.limits());
        this.handoffClient = new HandoffClient(this::onCommandDone);
        LayoutWatchers watchers = new LayoutWatchers();
        this.publisher = new LayoutPublisher(listener, watchers);
        this.layoutRequests =
                new LayoutRequestHandler(
                        coordinator, endpoints, watchers, config.limits().minHolders());
    }

    // ---- journal

    /**
     * Opens the journal where there is one; else the first list of nodes begins it.
     *
     * @throws IOException the journal is damaged or in use
     */
    synchronized void openExistingJournal() throws IOException {
        if (Files.exists(config.log())) {
            openJournal(null);
        }
    }

    private void openJournal(JournalRecord.Snapshot first) throws IOException {
        MigrationJournalState migrationState =
                config.migrationLimits() == null ? null : new MigrationJournalState();
        state.setWorkflow(migrationState);
        journal = MoveJournal.open(config.log(), state, first);
        if (migrationState != null) {
            handoffClient.startTerm(journal.startTerm(state), this::onDigests, this::onSuperseded);
            MigrationManager manager =
                    new MigrationManager(
                            coordinator,
                            migrationState,
                            config.migrationLimits(),
                            ServiceClock.now());
            migrations = new MigrationHandler(manager, coordinator);
            publisher.useLeases(
                    new LayoutPublisher.Leases(
                            manager.routerAcknowledgements(),
                            config.migrationLimits().routerLease(),
                            this::isLeader));
        }
        if (journal.tornBytes() > 0) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "{0}: a torn record of {1} bytes was cut off; the layout goes on as "
                            + "version {2}",
                    config.log(),
                    journal.tornBytes(),
                    state.layout().version);
        }
        LOG.log(
                System.Logger.Level.INFO,
                "layout {0}: {1} slices, {2} moves under way",
                state.layout().version,
                state.layout().slices().size(),
                state.activeMoves().size());
        publisher.publish(state.layout());
    }

    /** Begins the journal of a new installation: slices of even size over the listed nodes. */
    private void createJournal(List<String> nodes) {
        try {
            Layout first = Layout.initial(config.initialSlices(), nodes, config.initialHolders());
            openJournal(
                    new JournalRecord.Snapshot(
                            first,
                            first.version,
                            0,
                            first.slices().size() - 1,
                            List.of(),
                            null,
                            List.of()));
        } catch (IOException e) {
            LOG.log(System.Logger.Level.ERROR, "{0}; no layout is published", e.getMessage());
        }
    }

    // ---- events

    /** Takes an update of the data-node list. */
    synchronized void onEndpointUpdate(EndpointUpdate update) {
        if (stopped) {
            return;
        }
        List<String> restarted = endpoints.apply(update);
        Map<String, TargetLayout.NodeInfo> nodes = endpoints.nodeInfos();
        handoffClient.updateAddresses(endpoints.addresses());
        coordinator.onNodesListed(nodes, restarted);
        if (migrations != null && !restarted.isEmpty()) {
            try {
                execute(migrations.manager().onNodesStarted(restarted, ServiceClock.now()));
            } catch (IOException e) {
                // The failure is logged where it happened; no move is decided any more.
                return;
            }
        }
        List<String> ready = SlicePlacement.spreadOverZones(nodes);
        if (journal == null && ready.size() >= config.initialHolders()) {
            createJournal(ready);
        }
        wake();
    }

    private synchronized void onCommandDone(
            long move, String node, HandoffCommand command, int slice) {
        coordinator.acknowledged(move, node, command, slice);
        wake();
    }

    private synchronized void onDigests(long requestId, String node, List<RangeDigest> digests) {
        migrations.manager().onRangeDigests(requestId, node, digests, ServiceClock.now());
        wake();
    }

    /** A node has taken a command of a later term. */
    private synchronized void onSuperseded() {
        LOG.log(
                System.Logger.Level.ERROR,
                new MigrationError.LeadershipLost(state.term(), "a node").message());
        stopped = true;
        publisher.onLeadershipEnded();
    }

    private void wake() {
        wakeRequested = true;
        notifyAll();
    }

    // ---- moves

    /**
     * Advances the moves until the service stops, or fails; answers waiting requests whose time is
     * up until it stops. The body of the thread "moves".
     */
    void runMoves() {
        try {
            while (!isClosing()) {
                if (!stopped) {
                    advanceMovesOrFail();
                }
                answerExpiredWatchersAndWait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean isClosing() {
        return closing;
    }

    private void advanceMovesOrFail() {
        try {
            advanceMoves();
        } catch (IOException | RuntimeException e) {
            fail(e);
        }
    }

    private synchronized void advanceMoves() throws IOException {
        if (journal == null || stopped) {
            return;
        }
        if (migrations != null) {
            journal.requireLeadership();
            execute(migrations.manager().tick(ServiceClock.now()));
        }
        executeMoves(coordinator.tick(ServiceClock.now()));
        journal.compact(state);
    }

    @SuppressWarnings(
            "WaitNotInLoop") // A spurious wake-up looks at the moves early, which is harmless.
    private synchronized void answerExpiredWatchersAndWait() throws InterruptedException {
        publisher.answerExpired();
        if (!wakeRequested && !closing) {
            wait(TICK_INTERVAL.toMillis());
        }
        wakeRequested = false;
    }

    private synchronized void fail(Exception e) {
        if (stopped) {
            return;
        }
        stopped = true;
        if (e instanceof MoveJournal.LeadershipLostException) {
            LOG.log(System.Logger.Level.ERROR, e.getMessage());
        } else {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "moves stop here: the log can't be trusted any more; restart",
                    e);
        }
        publisher.onLeadershipEnded();
    }

    private void execute(List<MigrationAction> actions) throws IOException {
        for (MigrationAction action : actions) {
            if (action instanceof MigrationAction.Delegated delegated) {
                execute(delegated.action());
            } else if (action instanceof MigrationAction.RequestDigests request) {
                handoffClient.requestDigests(request);
            }
        }
    }

    private void executeMoves(List<CoordinatorAction> actions) throws IOException {
        for (CoordinatorAction action : actions) {
            execute(action);
        }
    }

    private void execute(CoordinatorAction action) throws IOException {
        if (action instanceof CoordinatorAction.AppendRecord append) {
            append(append.record());
        } else if (action instanceof CoordinatorAction.SendCommand send) {
            handoffClient.send(send);
        } else if (action instanceof CoordinatorAction.PublishLayout publish) {
            publisher.publish(publish.layout());
        }
    }

    private void append(JournalRecord record) throws IOException {
        try {
            journal.append(record);
        } catch (MoveJournal.LeadershipLostException e) {
            fail(e);
            throw e;
        } catch (IOException e) {
            fail(e);
            throw new JournalWriteException(e);
        }
    }

    // ---- the published layout

    /** See {@link LayoutPublisher#answer}. */
    synchronized boolean answerLayoutRequest(LayoutRequest request) {
        return publisher.answer(request);
    }

    /** See {@link LayoutPublisher#awaitNewer}. */
    synchronized void awaitNewerLayout(LayoutRequest request) {
        publisher.awaitNewer(request);
    }

    private boolean isLeader() {
        try {
            return !stopped && journal.isLeader();
        } catch (IOException e) {
            return false;
        }
    }

    // ---- operators

    /**
     * Handles an operator's request.
     *
     * @return the answer's text
     * @throws RequestRejectedException the request is unknown, or can't be served now
     * @throws OperatorErrorException a request about migrations can't be fulfilled
     * @throws IllegalArgumentException a request about layouts or moves can't be fulfilled
     * @throws JournalWriteException the journal can't be written
     * @throws MoveJournal.LeadershipLostException another process writes to the journal
     * @throws IOException the body can't be read
     */
    synchronized String handle(OperatorRequest request)
            throws RequestRejectedException, OperatorErrorException, IOException {
        if (stopped) {
            throw new RequestRejectedException(
                    503, closing ? "the service stops" : "the log failed: restart the service");
        }
        if (journal == null) {
            throw new RequestRejectedException(503, "there is no layout yet");
        }
        OperatorResponse response = respond(request);
        execute(response.actions());
        if (response.wakesMoves()) {
            wake();
        }
        return response.text().get();
    }

    private OperatorResponse respond(OperatorRequest request)
            throws RequestRejectedException, OperatorErrorException, IOException {
        if (LayoutRequestHandler.handles(request.path())) {
            return layoutRequests.handle(request, ServiceClock.now());
        }
        if (!MigrationHandler.handles(request.path())) {
            throw new RequestRejectedException(404, "no such request");
        }
        if (migrations == null) {
            throw new OperatorErrorException(new MigrationError.MigrationsDisabled());
        }
        return migrations.handle(request, ServiceClock.now());
    }

    /** The moves that are under way or finished lately, a line each. */
    synchronized List<String> describeMoves() {
        List<String> lines = new ArrayList<>();
        state.finishedMoves().forEach(move -> lines.add(Objects.toString(move)));
        state.activeMoves().forEach(move -> lines.add(Objects.toString(move)));
        return lines;
    }

    // ---- shutdown

    /**
     * No move is decided and no request accepted any more; waits for a record that is being
     * written.
     */
    synchronized void stop() {
        stopped = true;
        closing = true;
        publisher.close();
        wake();
    }

    /** Gives back the threads and connections to data nodes. */
    void closeConnections() {
        handoffClient.close();
    }

    synchronized void closeJournal() throws IOException {
        if (journal != null) {
            journal.close();
            journal = null;
        }
    }
}
