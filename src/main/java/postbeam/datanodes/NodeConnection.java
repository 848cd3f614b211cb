package postbeam.datanodes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import postbeam.dispatch.AttemptListener;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.AttemptOutcome;

/**
 * One connection to a data node, on the I/O thread alone. It is given back in {@link #close}, and
 * only there.
 */
final class NodeConnection {
    private static final System.Logger LOG = System.getLogger(NodeConnection.class.getName());

    /** Bytes read at once, and kept while nothing larger comes. */
    private static final int READ_BUFFER_BYTES = 4096;

    /**
     * How long the rest of a frame may take: a node sends it together, and a router on part of a
     * core may stall.
     */
    private static final Duration MAX_FRAME_DURATION = Duration.ofMillis(400);

    /**
     * Ids of ended calls that are kept: a second answer, or one that crossed its giving up, comes
     * soon.
     */
    private static final int MAX_REMEMBERED_IDS = 128;

    /** A frame that waits for its turn: leaf calls, encoded when they go, or bytes. */
    private record QueuedFrame(List<DispatchedAttempt> calls, ByteBuffer bytes) {}

    private static final class InFlightAttempt {
        final DispatchedAttempt call;
        boolean written;

        /** When its frame was written or, before that, taken up. */
        long sinceNanos = System.nanoTime();

        InFlightAttempt(DispatchedAttempt call) {
            this.call = call;
        }
    }

    final String address;
    private final DataNodeClient owner;
    private final AttemptListener listener;
    private final Duration connectTimeout;
    private final Duration maxIdle;
    private final Deque<QueuedFrame> writeQueue = new ArrayDeque<>();
    private final Map<String, InFlightAttempt> inFlight = new LinkedHashMap<>();

    /** The latest calls that ended on it, by id. */
    private final Set<String> recentlyEnded = new LinkedHashSet<>();

    private final Deque<String> pendingProbes = new ArrayDeque<>();
    private StreamConnection channel;
    private XnioExecutor.Key connectTimer;
    private ByteBuffer readBuffer =
            ByteBuffer.allocate(READ_BUFFER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    private ByteBuffer currentFrame;
    private long currentFrameSinceNanos;
    private List<InFlightAttempt> currentAttempts = List.of();
    private int queuedAttempts;
    private long lastUsedNanos = System.nanoTime();
    private long lastReceivedNanos = lastUsedNanos;

    /** Since when a frame has begun to come; 0 while none has. */
    private long partialFrameSinceNanos;

    private boolean suspect;
    private boolean closed;

    NodeConnection(
            DataNodeClient owner,
            AttemptListener listener,
            String address,
            Duration connectWithin,
            Duration idleMost) {
        this.owner = owner;
        this.listener = listener;
        this.address = address;
        this.connectTimeout = connectWithin;
        this.maxIdle = idleMost;
    }

    void open(XnioIoThread io, InetSocketAddress to) {
        IoFuture<StreamConnection> opening =
                io.openStreamConnection(
                        to, opened -> {}, null, OptionMap.create(Options.TCP_NODELAY, true));
        connectTimer =
                io.executeAfter(
                        () -> {
                            opening.cancel();
                            close("no connection in time");
                        },
                        connectTimeout.toMillis(),
                        TimeUnit.MILLISECONDS);
        opening.addNotifier((future, none) -> io.execute(() -> opened(future)), null);
    }

    private void opened(IoFuture<? extends StreamConnection> future) {
        try {
            if (future.getStatus() != IoFuture.Status.DONE) {
                close(
                        "no connection: "
                                + (future.getStatus() == IoFuture.Status.FAILED
                                        ? future.getException().getMessage()
                                        : "cancelled"));
                return;
            }
            StreamConnection made = future.get();
            if (closed) {
                IoUtils.safeClose(made);
                return;
            }
            connectTimer.remove();
            channel = made;
            ConduitStreamSourceChannel source = channel.getSourceChannel();
            source.setReadListener(this::read);
            source.resumeReads();
            channel.getSinkChannel().setWriteListener(sink -> write());
            write();
        } catch (IOException e) {
            close("no connection: " + e.getMessage());
        }
    }

    /**
     * Whether so many parts more may go on it; one that was silent where an answer was due takes no
     * more.
     */
    boolean hasCapacityFor(int parts, int most) {
        int load = inFlight.size() + queuedAttempts;
        return !closed
                && !suspect
                && (load == 0 || load + parts <= most)
                && (load > 0
                        || channel == null
                        || System.nanoTime() - lastUsedNanos < maxIdle.toNanos())
                && (currentFrame == null || !connectTimeoutPassedSince(currentFrameSinceNanos));
    }

    /** So long ago that a new connection would be up by now. */
    private boolean connectTimeoutPassedSince(long since) {
        return System.nanoTime() - since > connectTimeout.toNanos();
    }

    void send(List<DispatchedAttempt> calls) {
        queuedAttempts += calls.size();
        enqueue(new QueuedFrame(calls, null));
    }

    void probe(String node, char letter) {
        pendingProbes.add(node);
        enqueue(new QueuedFrame(null, FrameCodec.encode(letter, "")));
    }

    void cancel(DispatchedAttempt call) {
        InFlightAttempt given = inFlight.get(call.id);
        if (given == null || given.call != call) {
            return;
        }
        attemptEnded(call);
        // Guards against a connection that leads nowhere any more, which nothing tells: the machine
        // vanished
        // or was cut off. Further calls go on a new one, which comes up or fails in time.
        suspect |=
                lastReceivedNanos < given.sinceNanos && connectTimeoutPassedSince(given.sinceNanos);
        enqueue(new QueuedFrame(null, FrameCodec.encode(FrameCodec.CANCEL, call.id)));
        closeIfSuspectAndDone();
    }

    void closeIfIdle() {
        if (channel != null
                && inFlight.isEmpty()
                && queuedAttempts == 0
                && pendingProbes.isEmpty()
                && System.nanoTime() - lastUsedNanos >= maxIdle.toNanos()) {
            close(null);
        }
    }

    private void closeIfSuspectAndDone() {
        if (suspect
                && inFlight.isEmpty()
                && pendingProbes.isEmpty()
                && writeQueue.stream()
                        .allMatch(
                                frame ->
                                        frame.calls() == null
                                                || frame.calls().stream()
                                                        .allMatch(
                                                                DispatchedAttempt::isAbandoned))) {
            close(null);
        }
    }

    private void enqueue(QueuedFrame frame) {
        if (closed) {
            return;
        }
        writeQueue.add(frame);
        lastUsedNanos = System.nanoTime();
        if (channel != null && currentFrame == null) {
            write();
        }
    }

    // ---- writing

    private void write() {
        ConduitStreamSinkChannel sink = channel.getSinkChannel();
        try {
            while (currentFrame != null || takeNextFrame()) {
                if (currentFrame.position() > 0 && anyUnsendable(currentAttempts)) {
                    close("a frame that can't go on, as part of it is not wanted any more");
                    return;
                }
                sink.write(currentFrame);
                if (currentFrame.hasRemaining()) {
                    sink.resumeWrites();
                    return;
                }
                long now = System.nanoTime();
                for (InFlightAttempt call : currentAttempts) {
                    call.written = true;
                    call.sinceNanos = now;
                }
                currentFrame = null;
                currentAttempts = List.of();
            }
            sink.suspendWrites();
        } catch (IOException | RuntimeException e) {
            close("write failed: " + e);
        }
    }

    /**
     * Guards against a frame that stood half written while its client left, its node began to drain
     * or its time passed: its last byte would begin the attempt. It costs the other calls on a
     * connection whose node does not read.
     */
    private static boolean anyUnsendable(List<InFlightAttempt> calls) {
        DispatchedAttempt.checkClientPresence(calls.stream().map(out -> out.call).toList());
        return calls.stream().anyMatch(out -> out.call.unsentOutcome() != null);
    }

    /** Takes up the next frame; leaf calls that are not to be sent any more are left out. */
    private boolean takeNextFrame() {
        while (!writeQueue.isEmpty()) {
            QueuedFrame first = writeQueue.poll();
            if (first.calls() == null) {
                currentFrame = first.bytes();
                currentFrameSinceNanos = System.nanoTime();
                return true;
            }
            queuedAttempts -= first.calls().size();
            DispatchedAttempt.checkClientPresence(first.calls());
            List<DispatchedAttempt> live = new ArrayList<>();
            List<AttemptResult> endings = new ArrayList<>();
            for (DispatchedAttempt call : first.calls()) {
                AttemptOutcome outcome = call.unsentOutcome();
                if (outcome == null) {
                    live.add(call);
                } else {
                    endings.add(new AttemptResult(call, outcome));
                }
            }
            if (!endings.isEmpty()) {
                listener.onAttemptResults(endings);
            }
            if (!live.isEmpty()) {
                currentFrame = FrameCodec.encodeCall(live);
                currentFrameSinceNanos = System.nanoTime();
                currentAttempts = live.stream().map(InFlightAttempt::new).toList();
                for (InFlightAttempt call : currentAttempts) {
                    inFlight.put(call.call.id, call);
                    owner.attemptStarted(call.call, this);
                }
                return true;
            }
        }
        return false;
    }

    // ---- reading

    private void read(ConduitStreamSourceChannel source) {
        if (closed) {
            return;
        }
        List<AttemptResult> endings = new ArrayList<>();
        String broken = null;
        boolean spoilt = false;
        try {
            int got;
            while ((got = source.read(readBuffer)) > 0) {
                lastReceivedNanos = System.nanoTime();
                lastUsedNanos = lastReceivedNanos;
                decodeFrames(endings);
            }
            broken = got < 0 ? "closed by the node" : null;
            checkPartialFrame();
        } catch (FrameCodec.MalformedFrameException e) {
            broken = e.getMessage();
            spoilt = true;
        } catch (IOException | RuntimeException e) {
            broken = "read failed: " + e;
        }
        if (!endings.isEmpty()) {
            listener.onAttemptResults(endings);
        }
        if (broken != null) {
            close(broken, spoilt);
        } else {
            closeIfSuspectAndDone();
        }
    }

    /**
     * Guards against lengths that do not fit, noise and values that never end: part of a frame
     * where nothing is owed, or for too long, leads nowhere any more. It could hurt where a good
     * frame's bytes stall for so long.
     */
    private void checkPartialFrame() throws FrameCodec.MalformedFrameException {
        if (readBuffer.position() == 0) {
            partialFrameSinceNanos = 0;
        } else if (inFlight.isEmpty() && pendingProbes.isEmpty()) {
            throw new FrameCodec.MalformedFrameException("bytes that belong to nothing");
        } else if (partialFrameSinceNanos == 0) {
            partialFrameSinceNanos = lastReceivedNanos;
            channel.getIoThread()
                    .executeAfter(
                            () -> read(channel.getSourceChannel()),
                            MAX_FRAME_DURATION.toMillis() + 1,
                            TimeUnit.MILLISECONDS);
        } else if (System.nanoTime() - partialFrameSinceNanos > MAX_FRAME_DURATION.toNanos()) {
            throw new FrameCodec.MalformedFrameException("a frame that does not end");
        }
    }

    /** Takes the whole frames out of what was read, and makes room for the rest. */
    private void decodeFrames(List<AttemptResult> endings)
            throws FrameCodec.MalformedFrameException {
        readBuffer.flip();
        int needs = READ_BUFFER_BYTES;
        while (readBuffer.remaining() >= FrameCodec.LENGTH_BYTES) {
            int length = readBuffer.getInt(readBuffer.position());
            if (length < 1 || length > FrameCodec.MAX_PAYLOAD_BYTES) {
                throw new FrameCodec.MalformedFrameException("a frame of " + length + " bytes");
            }
            if (readBuffer.remaining() < FrameCodec.LENGTH_BYTES + length) {
                needs = FrameCodec.LENGTH_BYTES + length;
                break;
            }
            partialFrameSinceNanos = 0;
            readBuffer.getInt();
            char letter = (char) readBuffer.get();
            byte[] rest = new byte[length - 1];
            readBuffer.get(rest);
            handleFrame(letter, rest, endings);
        }
        if (needs > readBuffer.capacity()
                || needs == READ_BUFFER_BYTES && readBuffer.capacity() > READ_BUFFER_BYTES) {
            readBuffer = ByteBuffer.allocate(needs).order(ByteOrder.LITTLE_ENDIAN).put(readBuffer);
        } else {
            readBuffer.compact();
        }
    }

    private void handleFrame(char letter, byte[] rest, List<AttemptResult> endings)
            throws FrameCodec.MalformedFrameException {
        switch (letter) {
            case FrameCodec.RESPONSE -> {
                FrameCodec.ShardResponse answer = FrameCodec.decodeResponse(rest);
                InFlightAttempt answered = inFlight.get(answer.attemptId());
                if (answered != null) {
                    attemptEnded(answered.call);
                    endings.add(new AttemptResult(answered.call, answer.outcome(), answer.value()));
                } else if (!recentlyEnded.contains(answer.attemptId())) {
                    throw new FrameCodec.MalformedFrameException(
                            "an answer to nothing that was sent on it");
                }
            }
            case FrameCodec.PROBE, FrameCodec.LOAD_PROBE -> {
                String node = pendingProbes.poll();
                if (node == null) {
                    throw new FrameCodec.MalformedFrameException("an answer to no probe");
                }
                listener.onHealthCheck(
                        node, !"bad".equals(new String(rest, StandardCharsets.UTF_8)));
            }
            case FrameCodec.PROTOCOL_ERROR ->
                    throw new FrameCodec.MalformedFrameException(
                            "the node could not use a frame: "
                                    + new String(rest, StandardCharsets.UTF_8));
            default -> throw new FrameCodec.MalformedFrameException("a frame of an unknown letter");
        }
    }

    /** A call has ended on it; late or second answers to it are known from now on. */
    private void attemptEnded(DispatchedAttempt call) {
        inFlight.remove(call.id);
        owner.attemptEnded(call);
        recentlyEnded.add(call.id);
        if (recentlyEnded.size() > MAX_REMEMBERED_IDS) {
            recentlyEnded.remove(recentlyEnded.iterator().next());
        }
    }

    // ---- the end

    private void close(String why) {
        close(why, false);
    }

    /**
     * Gives everything back: the socket, the timer, and each call that is out or waits, once. Where
     * the node spoilt the connection it is alive and answers: the calls on it are aborted ones that
     * may have run, no broken way.
     */
    private void close(String why, boolean spoilt) {
        if (closed) {
            return;
        }
        closed = true;
        connectTimer.remove();
        if (channel != null) {
            IoUtils.safeClose(channel);
        }
        owner.connectionClosed(this);
        List<AttemptResult> endings = new ArrayList<>();
        for (InFlightAttempt call : inFlight.values()) {
            owner.attemptEnded(call.call);
            endings.add(
                    new AttemptResult(
                            call.call,
                            !call.written
                                    ? AttemptOutcome.UNREACHABLE
                                    : spoilt ? AttemptOutcome.ERROR : AttemptOutcome.RESET));
        }
        for (QueuedFrame frame : writeQueue) {
            if (frame.calls() != null) {
                frame.calls()
                        .forEach(
                                call ->
                                        endings.add(
                                                new AttemptResult(
                                                        call, AttemptOutcome.UNREACHABLE)));
            }
        }
        if (why != null && (!endings.isEmpty() || !pendingProbes.isEmpty())) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "connection to {0}: {1}; {2} calls end",
                    address,
                    why,
                    endings.size());
        }
        if (!endings.isEmpty()) {
            listener.onAttemptResults(endings);
        }
        pendingProbes.forEach(node -> listener.onHealthCheck(node, false));
    }
}
