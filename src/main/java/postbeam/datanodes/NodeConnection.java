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
import postbeam.router.Call;
import postbeam.router.Ending;
import postbeam.state.Outcome;

/**
 * One connection to a data node, on the I/O thread alone. It is given back in {@link #close}, and
 * only there.
 */
final class NodeConnection {
    private static final System.Logger LOG = System.getLogger(NodeConnection.class.getName());

    /** Bytes read at once, and kept while nothing larger comes. */
    private static final int READ = 4096;

    /**
     * How long the rest of a frame may take: a node sends it together, and a router on part of a
     * core may stall.
     */
    private static final Duration FRAME_MOST = Duration.ofMillis(400);

    /**
     * Ids of ended calls that are kept: a second answer, or one that crossed its giving up, comes
     * soon.
     */
    private static final int ENDED_KEPT = 128;

    /** A frame that waits for its turn: leaf calls, encoded when they go, or bytes. */
    private record Waiting(List<Call> calls, ByteBuffer bytes) {}

    private static final class Out {
        final Call call;
        boolean written;

        /** When its frame was written or, before that, taken up. */
        long since = System.nanoTime();

        Out(Call call) {
            this.call = call;
        }
    }

    final String address;
    private final DataNodes owner;
    private final AttemptListener listener;
    private final Duration connectWithin;
    private final Duration idleMost;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final Map<String, Out> out = new LinkedHashMap<>();

    /** The latest calls that ended on it, by id. */
    private final Set<String> ended = new LinkedHashSet<>();

    private final Deque<String> probes = new ArrayDeque<>();
    private StreamConnection channel;
    private XnioExecutor.Key connectTimer;
    private ByteBuffer in = ByteBuffer.allocate(READ).order(ByteOrder.LITTLE_ENDIAN);
    private ByteBuffer writing;
    private long writingSince;
    private List<Out> writingCalls = List.of();
    private int callsWaiting;
    private long usedAt = System.nanoTime();
    private long heardAt = usedAt;

    /** Since when a frame has begun to come; 0 while none has. */
    private long frameSince;

    private boolean doubtful;
    private boolean closed;

    NodeConnection(
            DataNodes owner,
            AttemptListener listener,
            String address,
            Duration connectWithin,
            Duration idleMost) {
        this.owner = owner;
        this.listener = listener;
        this.address = address;
        this.connectWithin = connectWithin;
        this.idleMost = idleMost;
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
                        connectWithin.toMillis(),
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
    boolean takes(int parts, int most) {
        int load = out.size() + callsWaiting;
        return !closed
                && !doubtful
                && (load == 0 || load + parts <= most)
                && (load > 0 || channel == null || System.nanoTime() - usedAt < idleMost.toNanos())
                && (writing == null || !past(writingSince));
    }

    /** So long ago that a new connection would be up by now. */
    private boolean past(long since) {
        return System.nanoTime() - since > connectWithin.toNanos();
    }

    void send(List<Call> calls) {
        callsWaiting += calls.size();
        enqueue(new Waiting(calls, null));
    }

    void probe(String node, char letter) {
        probes.add(node);
        enqueue(new Waiting(null, Frames.of(letter, "")));
    }

    void giveUp(Call call) {
        Out given = out.get(call.id);
        if (given == null || given.call != call) {
            return;
        }
        over(call);
        // Guards against a connection that leads nowhere any more, which nothing tells: the machine
        // vanished
        // or was cut off. Further calls go on a new one, which comes up or fails in time.
        doubtful |= heardAt < given.since && past(given.since);
        enqueue(new Waiting(null, Frames.of(Frames.GIVE_UP, call.id)));
        closeIfDone();
    }

    void closeIfIdle() {
        if (channel != null
                && out.isEmpty()
                && callsWaiting == 0
                && probes.isEmpty()
                && System.nanoTime() - usedAt >= idleMost.toNanos()) {
            close(null);
        }
    }

    private void closeIfDone() {
        if (doubtful
                && out.isEmpty()
                && probes.isEmpty()
                && waiting.stream()
                        .allMatch(
                                frame ->
                                        frame.calls() == null
                                                || frame.calls().stream().allMatch(Call::over))) {
            close(null);
        }
    }

    private void enqueue(Waiting frame) {
        if (closed) {
            return;
        }
        waiting.add(frame);
        usedAt = System.nanoTime();
        if (channel != null && writing == null) {
            write();
        }
    }

    // ---- writing

    private void write() {
        ConduitStreamSinkChannel sink = channel.getSinkChannel();
        try {
            while (writing != null || next()) {
                if (writing.position() > 0 && unwanted(writingCalls)) {
                    close("a frame that can't go on, as part of it is not wanted any more");
                    return;
                }
                sink.write(writing);
                if (writing.hasRemaining()) {
                    sink.resumeWrites();
                    return;
                }
                long now = System.nanoTime();
                for (Out call : writingCalls) {
                    call.written = true;
                    call.since = now;
                }
                writing = null;
                writingCalls = List.of();
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
    private static boolean unwanted(List<Out> calls) {
        Call.checkClients(calls.stream().map(out -> out.call).toList());
        return calls.stream().anyMatch(out -> out.call.unsendable() != null);
    }

    /** Takes up the next frame; leaf calls that are not to be sent any more are left out. */
    private boolean next() {
        while (!waiting.isEmpty()) {
            Waiting first = waiting.poll();
            if (first.calls() == null) {
                writing = first.bytes();
                writingSince = System.nanoTime();
                return true;
            }
            callsWaiting -= first.calls().size();
            Call.checkClients(first.calls());
            List<Call> live = new ArrayList<>();
            List<Ending> endings = new ArrayList<>();
            for (Call call : first.calls()) {
                Outcome outcome = call.unsendable();
                if (outcome == null) {
                    live.add(call);
                } else {
                    endings.add(new Ending(call, outcome));
                }
            }
            if (!endings.isEmpty()) {
                listener.report(endings);
            }
            if (!live.isEmpty()) {
                writing = Frames.call(live);
                writingSince = System.nanoTime();
                writingCalls = live.stream().map(Out::new).toList();
                for (Out call : writingCalls) {
                    out.put(call.call.id, call);
                    owner.carried(call.call, this);
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
        List<Ending> endings = new ArrayList<>();
        String broken = null;
        boolean spoilt = false;
        try {
            int got;
            while ((got = source.read(in)) > 0) {
                heardAt = System.nanoTime();
                usedAt = heardAt;
                frames(endings);
            }
            broken = got < 0 ? "closed by the node" : null;
            watchFrame();
        } catch (Frames.BadFrame e) {
            broken = e.getMessage();
            spoilt = true;
        } catch (IOException | RuntimeException e) {
            broken = "read failed: " + e;
        }
        if (!endings.isEmpty()) {
            listener.report(endings);
        }
        if (broken != null) {
            close(broken, spoilt);
        } else {
            closeIfDone();
        }
    }

    /**
     * Guards against lengths that do not fit, noise and values that never end: part of a frame
     * where nothing is owed, or for too long, leads nowhere any more. It could hurt where a good
     * frame's bytes stall for so long.
     */
    private void watchFrame() throws Frames.BadFrame {
        if (in.position() == 0) {
            frameSince = 0;
        } else if (out.isEmpty() && probes.isEmpty()) {
            throw new Frames.BadFrame("bytes that belong to nothing");
        } else if (frameSince == 0) {
            frameSince = heardAt;
            channel.getIoThread()
                    .executeAfter(
                            () -> read(channel.getSourceChannel()),
                            FRAME_MOST.toMillis() + 1,
                            TimeUnit.MILLISECONDS);
        } else if (System.nanoTime() - frameSince > FRAME_MOST.toNanos()) {
            throw new Frames.BadFrame("a frame that does not end");
        }
    }

    /** Takes the whole frames out of what was read, and makes room for the rest. */
    private void frames(List<Ending> endings) throws Frames.BadFrame {
        in.flip();
        int needs = READ;
        while (in.remaining() >= Frames.HEAD) {
            int length = in.getInt(in.position());
            if (length < 1 || length > Frames.LONGEST) {
                throw new Frames.BadFrame("a frame of " + length + " bytes");
            }
            if (in.remaining() < Frames.HEAD + length) {
                needs = Frames.HEAD + length;
                break;
            }
            frameSince = 0;
            in.getInt();
            char letter = (char) in.get();
            byte[] rest = new byte[length - 1];
            in.get(rest);
            frame(letter, rest, endings);
        }
        if (needs > in.capacity() || needs == READ && in.capacity() > READ) {
            in = ByteBuffer.allocate(needs).order(ByteOrder.LITTLE_ENDIAN).put(in);
        } else {
            in.compact();
        }
    }

    private void frame(char letter, byte[] rest, List<Ending> endings) throws Frames.BadFrame {
        switch (letter) {
            case Frames.ANSWER -> {
                Frames.Answer answer = Frames.answer(rest);
                Out answered = out.get(answer.id());
                if (answered != null) {
                    over(answered.call);
                    endings.add(new Ending(answered.call, answer.outcome(), answer.value()));
                } else if (!ended.contains(answer.id())) {
                    throw new Frames.BadFrame("an answer to nothing that was sent on it");
                }
            }
            case Frames.PROBE, Frames.LOAD_PROBE -> {
                String node = probes.poll();
                if (node == null) {
                    throw new Frames.BadFrame("an answer to no probe");
                }
                listener.probed(node, !"bad".equals(new String(rest, StandardCharsets.UTF_8)));
            }
            case Frames.UNUSABLE ->
                    throw new Frames.BadFrame(
                            "the node could not use a frame: "
                                    + new String(rest, StandardCharsets.UTF_8));
            default -> throw new Frames.BadFrame("a frame of an unknown letter");
        }
    }

    /** A call has ended on it; late or second answers to it are known from now on. */
    private void over(Call call) {
        out.remove(call.id);
        owner.over(call);
        ended.add(call.id);
        if (ended.size() > ENDED_KEPT) {
            ended.remove(ended.iterator().next());
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
        owner.closed(this);
        List<Ending> endings = new ArrayList<>();
        for (Out call : out.values()) {
            owner.over(call.call);
            endings.add(
                    new Ending(
                            call.call,
                            !call.written
                                    ? Outcome.UNREACHABLE
                                    : spoilt ? Outcome.ERROR : Outcome.RESET));
        }
        for (Waiting frame : waiting) {
            if (frame.calls() != null) {
                frame.calls().forEach(call -> endings.add(new Ending(call, Outcome.UNREACHABLE)));
            }
        }
        if (why != null && (!endings.isEmpty() || !probes.isEmpty())) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "connection to {0}: {1}; {2} calls end",
                    address,
                    why,
                    endings.size());
        }
        if (!endings.isEmpty()) {
            listener.report(endings);
        }
        probes.forEach(node -> listener.probed(node, false));
    }
}
