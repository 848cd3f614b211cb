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
 * One connection to a data node, from opening to close. Used only on the I/O thread. Every attempt
 * and probe passed to it ends exactly once: by a response, by a cancellation or when the connection
 * closes.
 */
final class NodeConnection implements FrameWriter.Listener {
    private static final System.Logger LOG = System.getLogger(NodeConnection.class.getName());

    /**
     * Time between the connect timeout and the close of a connection that is still not established.
     */
    private static final Duration CONNECT_TIMEOUT_GRACE = Duration.ofMillis(10);

    /** Limit for the part of a node's protocol error text that is logged. */
    private static final int MAX_LOGGED_BYTES = 200;

    private final ConnectionPool pool;
    private final AttemptListener listener;
    private final String address;
    private final Duration connectTimeout;
    private final Duration maxIdle;

    private final InFlightTable inFlight = new InFlightTable();
    private final FrameReader reader = new FrameReader();
    private final FrameWriter writer = new FrameWriter(this);

    /** Names of the nodes whose probe is queued or awaits its result, in the order of sending. */
    private final Deque<String> pendingProbes = new ArrayDeque<>();

    /** Null until the connection is established. */
    private StreamConnection channel;

    private XnioExecutor.Key connectTimer;
    private long lastEnqueuedNanos = System.nanoTime();

    /**
     * Whether the node sent nothing although a response was due. A suspect connection accepts no
     * further attempts and closes once nothing is in flight.
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

    // ---- connecting

    /**
     * Starts to connect. Frames that are queued before the connection is established are written
     * once it is.
     */
    void open(XnioIoThread ioThread, InetSocketAddress target) {
        IoFuture<StreamConnection> connectFuture =
                ioThread.openStreamConnection(
                        target, opened -> {}, null, OptionMap.create(Options.TCP_NODELAY, true));
        connectTimer =
                ioThread.executeAfter(
                        () -> closeAfterGracePeriod(ioThread, connectFuture),
                        connectTimeout.toMillis(),
                        TimeUnit.MILLISECONDS);
        connectFuture.addNotifier(
                (future, none) -> ioThread.execute(() -> handleConnectResult(future)), null);
    }

    /**
     * Closes a connection that is still not established after a grace period. When the I/O thread
     * is late, the connect timer fires before the thread has processed the sockets that are ready.
     */
    private void closeAfterGracePeriod(
            XnioIoThread ioThread, IoFuture<? extends StreamConnection> connectFuture) {
        connectTimer =
                ioThread.executeAfter(
                        () -> {
                            connectFuture.cancel();
                            close("not connected within " + connectTimeout.toMillis() + " ms");
                        },
                        CONNECT_TIMEOUT_GRACE.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void handleConnectResult(IoFuture<? extends StreamConnection> future) {
        try {
            if (future.getStatus() != IoFuture.Status.DONE) {
                close("connect failed: " + connectFailure(future));
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
            close("connect failed: " + e.getMessage());
        }
    }

    private static String connectFailure(IoFuture<? extends StreamConnection> future) {
        boolean failed = future.getStatus() == IoFuture.Status.FAILED;
        return failed ? future.getException().getMessage() : "cancelled";
    }

    // ---- sending

    /**
     * Returns whether the connection accepts this number of further attempts: it is open, has room
     * for them, is not idle for too long and its writes are not stalled.
     *
     * @param attempts number of further attempts
     * @param maxAttempts limit of attempts in flight or queued; an unused connection accepts more
     */
    boolean hasCapacityFor(int attempts, int maxAttempts) {
        int load = inFlight.size() + writer.queuedAttempts();
        return !closed
                && !suspect
                && (load == 0 || load + attempts <= maxAttempts)
                && (load > 0 || channel == null || !isIdleTooLong())
                && !writer.isStalled(connectTimeout);
    }

    /**
     * Reads what has arrived on an idle connection, and returns whether it is still open. A node
     * may have closed it, and the I/O thread may not have been notified yet.
     */
    boolean checkOpenIfIdle() {
        if (channel != null && isUnused()) {
            read(channel.getSourceChannel());
        }
        return !closed;
    }

    /** Queues the attempts to be sent together in one frame. */
    void send(List<DispatchedAttempt> attempts) {
        enqueue(new QueuedFrame.Attempts(attempts));
    }

    /** Sends the node a health check, as a frame of this type. */
    void probe(String node, char type) {
        pendingProbes.add(node);
        enqueue(new QueuedFrame.Encoded(FrameCodec.encode(type, "")));
    }

    /** Cancels the attempt at the node; does nothing if the attempt is not in flight here. */
    void cancel(DispatchedAttempt attempt) {
        InFlightAttempt inFlightAttempt = inFlight.find(attempt);
        if (inFlightAttempt == null) {
            return;
        }
        endAttempt(attempt);
        // Detects a half-open connection: the machine vanished or was cut off, and TCP reports no
        // error. Further attempts use a new connection, which comes up or fails within the timeout.
        suspect |=
                reader.lastReadNanos() < inFlightAttempt.sinceNanos()
                        && wouldHaveConnectedSince(inFlightAttempt.sinceNanos());
        enqueue(new QueuedFrame.Encoded(FrameCodec.encode(FrameCodec.CANCEL, attempt.id)));
        closeIfSuspectAndDone();
    }

    /** Returns whether a connection opened at that time would be up or have failed by now. */
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
                close("a partly written frame holds an attempt that must not be sent any more");
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
        ReceivedFrames frames = new ReceivedFrames();
        String failure = null;
        boolean malformed = false;
        try {
            boolean open = reader.read(source, frames);
            failure = open ? null : "the node closed the connection";
            checkPartialFrame(frames);
        } catch (MalformedFrameException e) {
            failure = e.getMessage();
            malformed = true;
        } catch (IOException | RuntimeException e) {
            failure = "read failed: " + e;
        }
        if (!frames.results.isEmpty()) {
            listener.onAttemptResults(frames.results);
        }
        if (failure != null) {
            close(failure, malformed);
        } else {
            closeIfSuspectAndDone();
        }
    }

    private void checkPartialFrame(ReceivedFrames frames) throws MalformedFrameException {
        boolean responseExpected = !inFlight.isEmpty() || !pendingProbes.isEmpty();
        if (reader.checkPartialFrame(responseExpected, frames)) {
            channel.getIoThread()
                    .executeAfter(
                            () -> read(channel.getSourceChannel()),
                            FrameReader.MAX_FRAME_DURATION.toMillis() + 1,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Handles the frames of one read and collects the results of the attempts that they end. */
    private final class ReceivedFrames implements FrameReader.FrameHandler {
        final List<AttemptResult> results = new ArrayList<>();

        @Override
        public void handleFrame(char type, byte[] payload) throws MalformedFrameException {
            NodeConnection.this.handleFrame(type, payload, results);
        }

        @Override
        public boolean expectsMoreAfter(char type, byte[] payload) {
            boolean expected =
                    type == FrameCodec.RESPONSE
                            ? inFlight.find(FrameCodec.attemptId(payload)) != null
                            : !pendingProbes.isEmpty();
            return inFlight.size() + pendingProbes.size() > (expected ? 1 : 0);
        }
    }

    private void handleFrame(char type, byte[] payload, List<AttemptResult> results)
            throws MalformedFrameException {
        switch (type) {
            case FrameCodec.RESPONSE -> handleResponse(payload, results);
            case FrameCodec.PROBE, FrameCodec.LOAD_PROBE -> handleProbeResult(payload);
            case FrameCodec.PROTOCOL_ERROR ->
                    throw new MalformedFrameException(
                            "the node reported a protocol error: "
                                    + new String(
                                                    payload,
                                                    0,
                                                    Math.min(payload.length, MAX_LOGGED_BYTES),
                                                    StandardCharsets.UTF_8)
                                            .replaceAll("\\p{Cc}", "?"));
            default ->
                    throw new IllegalStateException(
                            "the reader passed on a frame of type 0x" + Integer.toHexString(type));
        }
    }

    private void handleResponse(byte[] payload, List<AttemptResult> results)
            throws MalformedFrameException {
        ShardResponse response = FrameCodec.decodeResponse(payload);
        InFlightAttempt inFlightAttempt = inFlight.find(response.attemptId());
        if (inFlightAttempt != null) {
            checkOutcomeIsPossible(inFlightAttempt.attempt(), response.outcome());
            endAttempt(inFlightAttempt.attempt());
            results.add(
                    new AttemptResult(
                            inFlightAttempt.attempt(), response.outcome(), response.value()));
        } else if (!inFlight.hasEndedRecently(response.attemptId())) {
            throw new MalformedFrameException(
                    "response to attempt id "
                            + response.attemptId()
                                    .substring(
                                            0,
                                            Math.min(
                                                    response.attemptId().length(),
                                                    MAX_LOGGED_BYTES))
                                    .replaceAll("\\p{Cc}", "?")
                            + ", which was not sent on this connection");
        }
    }

    /**
     * Rejects the outcome MOVED for a call that did not name its slice. Such a node can't know that
     * the request did not run.
     */
    private static void checkOutcomeIsPossible(DispatchedAttempt attempt, AttemptOutcome outcome)
            throws MalformedFrameException {
        if (outcome == AttemptOutcome.MOVED && !attempt.namesSlice()) {
            throw new MalformedFrameException(
                    "response outcome is moved, but the call did not name a slice");
        }
    }

    private void handleProbeResult(byte[] payload) throws MalformedFrameException {
        String node = pendingProbes.poll();
        if (node == null) {
            throw new MalformedFrameException(
                    "health check result received while no health check was pending on this"
                            + " connection");
        }
        listener.onHealthCheck(node, !"bad".equals(new String(payload, StandardCharsets.UTF_8)));
    }

    private void endAttempt(DispatchedAttempt attempt) {
        inFlight.end(attempt);
        pool.attemptEnded(attempt);
    }

    // ---- closing

    /** Closes the connection if it has been unused for the maximum idle time. */
    void closeIfIdle() {
        if (channel != null && isUnused() && isIdleTooLong()) {
            close(null);
        }
    }

    private boolean isUnused() {
        return inFlight.isEmpty() && writer.queuedAttempts() == 0 && pendingProbes.isEmpty();
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
     * Closes the socket and ends everything that is in flight or queued. A node that sent a
     * malformed frame is alive, so attempts whose frame was written end with ERROR, as they may
     * have run, instead of RESET.
     *
     * @param reason for the log; null for a regular close
     * @param malformed whether the node sent a malformed frame
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
                    "connection to {0} closed: {1}; attempts ended: {2}, probes failed: {3}",
                    address,
                    reason,
                    results.size(),
                    pendingProbes.size());
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
