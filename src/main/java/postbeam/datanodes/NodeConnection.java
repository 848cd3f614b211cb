package postbeam.datanodes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;
import postbeam.dispatch.AttemptListener;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.AttemptOutcome;

/**
 * One connection to a data node, from its opening to its close; on the I/O thread alone. Every
 * attempt and probe given to it ends exactly once: by a response, a cancel, or the close.
 */
final class NodeConnection implements FrameWriter.Listener {
    private static final System.Logger LOG = System.getLogger(NodeConnection.class.getName());

    /** From the end of the connect timeout until the connection is given up. */
    private static final Duration CONNECT_TIMEOUT_GRACE = Duration.ofMillis(10);

    private final ConnectionPool pool;
    private final AttemptListener listener;
    private final String address;
    private final Duration connectTimeout;
    private final Duration maxIdle;

    private final InFlightTable inFlight = new InFlightTable();
    private final FrameReader reader = new FrameReader();
    private final FrameWriter writer = new FrameWriter(this);

    /** Names of the nodes whose probe is queued or sent, in order. */
    private final Deque<String> pendingProbes = new ArrayDeque<>();

    /** Null until the connection is up. */
    private StreamConnection channel;

    private XnioExecutor.Key connectTimer;
    private long lastEnqueuedNanos = System.nanoTime();

    /**
     * It was silent where a response was due: it takes no more, and closes once nothing is in
     * flight.
     */
    private boolean suspect;

    private boolean closed;

    NodeConnection(
            ConnectionPool pool,
            AttemptListener listener,
            String address,
            Duration connectTimeout,
            Duration maxIdle) {
        this.pool = pool;
        this.listener = listener;
        this.address = address;
        this.connectTimeout = connectTimeout;
        this.maxIdle = maxIdle;
    }

    String address() {
        return address;
    }

    // ---- opening

    /** Begins to connect; what is sent meanwhile waits. */
    void open(XnioIoThread ioThread, InetSocketAddress target) {
        IoFuture<StreamConnection> connectFuture =
                ioThread.openStreamConnection(
                        target, opened -> {}, null, OptionMap.create(Options.TCP_NODELAY, true));
        connectTimer =
                ioThread.executeAfter(
                        () -> closeAfterGracePeriod(ioThread, connectFuture),
                        connectTimeout.toMillis(),
                        TimeUnit.MILLISECONDS);
        connectFuture.addNotifier((future, none) -> ioThread.execute(() -> handleConnectResult(future)), null);
    }

    /**
     * Gives up a connection that is not up at a second look. Where the thread is late, the first
     * one comes before the sockets that are ready were seen to.
     */
    private void closeAfterGracePeriod(
            XnioIoThread ioThread, IoFuture<? extends StreamConnection> connectFuture) {
        connectTimer =
                ioThread.executeAfter(
                        () -> {
                            connectFuture.cancel();
                            close("no connection in time");
                        },
                        CONNECT_TIMEOUT_GRACE.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void handleConnectResult(IoFuture<? extends StreamConnection> future) {
        try {
            if (future.getStatus() != IoFuture.Status.DONE) {
                close("no connection: " + connectFailure(future));
                return;
            }
            StreamConnection connected = future.get();
            if (closed) {
                IoUtils.safeClose(connected);
                return;
            }
            connectTimer.remove();
            channel = connected;
            ConduitStreamSourceChannel source = channel.getSourceChannel();
            source.setReadListener(this::read);
            source.resumeReads();
            channel.getSinkChannel().setWriteListener(sink -> write());
            write();
        } catch (IOException e) {
            close("no connection: " + e.getMessage());
        }
    }

    private static String connectFailure(IoFuture<? extends StreamConnection> future) {
        boolean failed = future.getStatus() == IoFuture.Status.FAILED;
        return failed ? future.getException().getMessage() : "cancelled";
    }

    // ---- sending

    /** Whether it takes so many attempts more, where at most the number given may be on it. */
    boolean hasCapacityFor(int attempts, int maxAttempts) {
        int load = inFlight.size() + writer.queuedAttempts();
        return !closed
                && !suspect
                && (load == 0 || load + attempts <= maxAttempts)
                && (load > 0 || channel == null || !isIdleTooLong())
                && !writer.isStalled(connectTimeout);
    }

    /** Sends these together in one frame. */
    void send(List<DispatchedAttempt> attempts) {
        enqueue(new QueuedFrame.Attempts(attempts));
    }

    /** Asks the node how it is, by a frame of this type. */
    void probe(String node, char type) {
        pendingProbes.add(node);
        enqueue(new QueuedFrame.Encoded(FrameCodec.encode(type, "")));
    }

    /** Tells the node that nobody waits for this attempt any more. */
    void cancel(DispatchedAttempt attempt) {
        InFlightAttempt inFlightAttempt = inFlight.find(attempt);
        if (inFlightAttempt == null) {
            return;
        }
        endAttempt(attempt);
        // Guards against a connection that leads nowhere any more, which nothing tells: the machine
        // vanished or was cut off. Further attempts go on a new one, which comes up or fails in
        // time.
        suspect |=
                reader.lastReadNanos() < inFlightAttempt.sinceNanos()
                        && wouldHaveConnectedSince(inFlightAttempt.sinceNanos());
        enqueue(new QueuedFrame.Encoded(FrameCodec.encode(FrameCodec.CANCEL, attempt.id)));
        closeIfSuspectAndDone();
    }

    /** Whether a new connection begun then would be up by now. */
    private boolean wouldHaveConnectedSince(long nanos) {
        return System.nanoTime() - nanos > connectTimeout.toNanos();
    }

    private void enqueue(QueuedFrame frame) {
        if (closed) {
            return;
        }
        writer.enqueue(frame);
        lastEnqueuedNanos = System.nanoTime();
        if (channel != null && !writer.isWriting()) {
            write();
        }
    }

    private void write() {
        try {
            if (writer.write(channel.getSinkChannel()) == FrameWriter.Progress.ABANDONED) {
                close("a frame that can't go on, as part of it is not wanted any more");
            }
        } catch (IOException | RuntimeException e) {
            close("write failed: " + e);
        }
    }

    @Override
    public void attemptsDropped(List<AttemptResult> results) {
        listener.onAttemptResults(results);
    }

    @Override
    public void attemptsStarted(List<InFlightAttempt> attempts) {
        for (InFlightAttempt inFlightAttempt : attempts) {
            inFlight.add(inFlightAttempt);
            pool.attemptStarted(inFlightAttempt.attempt(), this);
        }
    }

    // ---- receiving

    private void read(ConduitStreamSourceChannel source) {
        if (closed) {
            return;
        }
        List<AttemptResult> results = new ArrayList<>();
        String failure = null;
        boolean malformed = false;
        try {
            boolean open =
                    reader.read(source, (type, payload) -> handleFrame(type, payload, results));
            failure = open ? null : "closed by the node";
            checkPartialFrame();
        } catch (MalformedFrameException e) {
            failure = e.getMessage();
            malformed = true;
        } catch (IOException | RuntimeException e) {
            failure = "read failed: " + e;
        }
        if (!results.isEmpty()) {
            listener.onAttemptResults(results);
        }
        if (failure != null) {
            close(failure, malformed);
        } else {
            closeIfSuspectAndDone();
        }
    }

    private void checkPartialFrame() throws MalformedFrameException {
        boolean responseExpected = !inFlight.isEmpty() || !pendingProbes.isEmpty();
        if (reader.checkPartialFrame(responseExpected)) {
            channel.getIoThread()
                    .executeAfter(
                            () -> read(channel.getSourceChannel()),
                            FrameReader.MAX_FRAME_DURATION.toMillis() + 1,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void handleFrame(char type, byte[] payload, List<AttemptResult> results)
            throws MalformedFrameException {
        switch (type) {
            case FrameCodec.RESPONSE -> handleResponse(payload, results);
            case FrameCodec.PROBE, FrameCodec.LOAD_PROBE -> handleProbeResult(payload);
            case FrameCodec.PROTOCOL_ERROR ->
                    throw new MalformedFrameException(
                            "the node could not use a frame: "
                                    + new String(payload, StandardCharsets.UTF_8));
            default -> throw new MalformedFrameException("a frame of an unknown letter");
        }
    }

    private void handleResponse(byte[] payload, List<AttemptResult> results)
            throws MalformedFrameException {
        ShardResponse response = FrameCodec.decodeResponse(payload);
        InFlightAttempt inFlightAttempt = inFlight.find(response.attemptId());
        if (inFlightAttempt != null) {
            endAttempt(inFlightAttempt.attempt());
            results.add(
                    new AttemptResult(
                            inFlightAttempt.attempt(), response.outcome(), response.value()));
        } else if (!inFlight.hasEndedRecently(response.attemptId())) {
            throw new MalformedFrameException("an answer to nothing that was sent on it");
        }
    }

    private void handleProbeResult(byte[] payload) throws MalformedFrameException {
        String node = pendingProbes.poll();
        if (node == null) {
            throw new MalformedFrameException("an answer to no probe");
        }
        listener.onHealthCheck(node, !"bad".equals(new String(payload, StandardCharsets.UTF_8)));
    }

    private void endAttempt(DispatchedAttempt attempt) {
        inFlight.end(attempt);
        pool.attemptEnded(attempt);
    }

    // ---- closing

    /** Closes it if nothing is on it and nothing was for the idle time. */
    void closeIfIdle() {
        if (channel != null
                && inFlight.isEmpty()
                && writer.queuedAttempts() == 0
                && pendingProbes.isEmpty()
                && isIdleTooLong()) {
            close(null);
        }
    }

    private boolean isIdleTooLong() {
        long lastUsed = Math.max(lastEnqueuedNanos, reader.lastReadNanos());
        return System.nanoTime() - lastUsed >= maxIdle.toNanos();
    }

    private void closeIfSuspectAndDone() {
        if (suspect
                && inFlight.isEmpty()
                && pendingProbes.isEmpty()
                && writer.isOnlyAbandonedQueued()) {
            close(null);
        }
    }

    private void close(String reason) {
        close(reason, false);
    }

    /**
     * Closes the socket and ends everything that is in flight or queued. A node that sent something
     * malformed is alive: attempts that were written then end as failed, as they may have run,
     * rather than as lost with their connection.
     *
     * @param reason null where nothing is wrong
     */
    private void close(String reason, boolean malformed) {
        if (closed) {
            return;
        }
        closed = true;
        connectTimer.remove();
        if (channel != null) {
            IoUtils.safeClose(channel);
        }
        pool.connectionClosed(this);
        List<AttemptResult> results = endAll(malformed);
        if (reason != null && (!results.isEmpty() || !pendingProbes.isEmpty())) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "connection to {0}: {1}; {2} calls end",
                    address,
                    reason,
                    results.size());
        }
        if (!results.isEmpty()) {
            listener.onAttemptResults(results);
        }
        pendingProbes.forEach(node -> listener.onHealthCheck(node, false));
    }

    private List<AttemptResult> endAll(boolean malformed) {
        List<AttemptResult> results = new ArrayList<>();
        for (InFlightAttempt inFlightAttempt : inFlight.all()) {
            pool.attemptEnded(inFlightAttempt.attempt());
            results.add(
                    new AttemptResult(
                            inFlightAttempt.attempt(), lostOutcome(inFlightAttempt, malformed)));
        }
        for (DispatchedAttempt attempt : writer.queuedFrameAttempts()) {
            results.add(new AttemptResult(attempt, AttemptOutcome.UNREACHABLE));
        }
        return results;
    }

    private static AttemptOutcome lostOutcome(InFlightAttempt inFlightAttempt, boolean malformed) {
        if (!inFlightAttempt.isWritten()) {
            return AttemptOutcome.UNREACHABLE;
        }
        return malformed ? AttemptOutcome.ERROR : AttemptOutcome.RESET;
    }
}
