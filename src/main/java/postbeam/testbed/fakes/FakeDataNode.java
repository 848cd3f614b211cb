package postbeam.testbed.fakes;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.IoUtils;
import postbeam.pages.PartialPage;
import postbeam.pages.Row;
import postbeam.pages.RowCodec;
import postbeam.slices.HandoffCommand;
import postbeam.slices.KeyRange;
import postbeam.testbed.verification.InvariantChecker;
import postbeam.testbed.verification.RunObserver;

/**
 * A data node on loopback that speaks the frames, holds slices by version, works on two parts at a
 * time, and tells the referee all that it is sent and runs. It can be slow, hang, die, drain, and
 * come back cold.
 */
public final class FakeDataNode implements Closeable {
    private static final int CORES = 2;
    private static final int QUEUE = 64;
    private static final int LONGEST = 1 << 20;

    /** Bytes of an answer's value: what a router takes. */
    private static final int ANSWER_MOST = 60_000;

    /** Work of a part with nothing else to do, and up to so much more by chance. */
    static final Duration WORK = Duration.ofMillis(2);

    private static final Duration WORK_MORE = Duration.ofMillis(3);
    private static final Duration COPY_MOST = Duration.ofMillis(150);

    /** What a stand-in tells what it sees. */
    public record Seen(
            RunObserver.NodeObserver referee,
            Supplier<Duration> now,
            Map<String, Map<KeyRange, Boolean>> runs) {}

    // The bytes are written once and only read: identity is enough.
    @SuppressWarnings("ArrayRecordComponent")
    private record Work(
            Socket socket,
            String query,
            String part,
            KeyRange keys,
            FakeSliceStore.HeldSlice held,
            byte[] ask) {}

    public final String name;
    final String zone;
    private final Seen seen;
    private final UniformRandomProvider chance;
    private final FakeSliceStore held = new FakeSliceStore();
    private final Map<Integer, Long> copies = new HashMap<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Set<String> givenUp = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress address;
    private final ScheduledExecutorService workers;
    private ServerSocket server;
    private int waiting;

    /** The highest term that an order came with. */
    private long term;

    private volatile boolean spoilt;
    private volatile Duration work = WORK;

    /** Ends each connection's thread of an earlier life. */
    private int life;

    private volatile int slowness = 1;
    private volatile boolean hanging;

    /** Share of parts that run and are answered with an error, and of answers that come late. */
    private volatile double badAnswers;

    private volatile double lateAnswers;
    private volatile List<Row> setRows = List.of();
    private volatile boolean spoilsOrder;

    /**
     * Whether it wants no slices held by number: it takes every call, as for a router without a
     * layout.
     */
    private final boolean unsliced;

    /**
     * Listens on a loopback address of its own.
     *
     * @param unsliced whether it accepts every call, as for a router without a layout
     */
    public FakeDataNode(
            String name, String zone, Seen seen, UniformRandomProvider chance, boolean unsliced)
            throws IOException {
        this.name = name;
        this.zone = zone;
        this.seen = seen;
        this.chance = chance;
        this.unsliced = unsliced;
        this.workers = new ScheduledThreadPoolExecutor(CORES, run -> daemon(run, "node-" + name));
        server = new ServerSocket(0, 200, LoopbackAddresses.next());
        address = (InetSocketAddress) server.getLocalSocketAddress();
        daemon(this::accept, "node-" + name).start();
    }

    private static Thread daemon(Runnable run, String name) {
        Thread thread = new Thread(run, name);
        thread.setDaemon(true);
        return thread;
    }

    String dialAddress() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void accept() {
        ServerSocket mine = server;
        try {
            while (true) {
                Socket socket = mine.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket), "node-" + name).start();
            }
        } catch (IOException e) {
            // Closed: it has died, or the run is over.
        }
    }

    private void serve(Socket socket) {
        try {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                int length = Integer.reverseBytes(in.readInt());
                if (length < 1 || length > LONGEST) {
                    throw new IOException("a frame of " + length + " bytes");
                }
                byte[] frame = in.readNBytes(length);
                if (frame.length < length) {
                    break;
                }
                frame(
                        socket,
                        (char) frame[0],
                        new String(frame, 1, length - 1, StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // The router has gone.
        } finally {
            sockets.remove(socket);
            IoUtils.safeClose(socket);
        }
    }

    private void frame(Socket socket, char letter, String rest) throws IOException {
        switch (letter) {
            case 'm' -> parts(socket, rest);
            case 'n' -> givenUp.add(rest);
            case 'o', 'p' -> send(socket, letter + (hanging ? "bad" : "good"));
            case 's' -> order(socket, rest);
            default -> throw new IOException("an unknown letter");
        }
    }

    // ---- calls

    private void parts(Socket socket, String parts) throws IOException {
        String rest = parts;
        while (!rest.isEmpty()) {
            int end = rest.indexOf('\n');
            String[] words = rest.substring(0, end).split(" ", 0);
            String text = rest.substring(end + 1, end + 1 + Integer.parseInt(words[3]));
            rest = rest.substring(end + 1 + text.length());
            long version = 0;
            byte[] ask = null;
            KeyRange keys = KeyRange.ALL;
            for (String item : words[2].split(",", 0)) {
                if (item.startsWith("v=")) {
                    version = Long.parseLong(item.substring(2));
                } else if (item.startsWith("k=")) {
                    int dash = item.indexOf('-');
                    keys =
                            new KeyRange(
                                    Long.parseLong(item.substring(2, dash)),
                                    Long.parseLong(item.substring(dash + 1)));
                } else if (item.startsWith("p=")) {
                    ask =
                            text.substring(text.length() - Integer.parseInt(item.substring(2)))
                                    .getBytes(StandardCharsets.UTF_8);
                }
            }
            int slice = Integer.parseInt(words[1]);
            part(
                    socket,
                    words[0],
                    slice,
                    unsliced ? new KeyRange(slice, slice + 1) : keys,
                    version,
                    ask);
        }
    }

    private void part(
            Socket socket, String part, int slice, KeyRange keys, long version, byte[] ask)
            throws IOException {
        String query = part.substring(0, part.lastIndexOf('.'));
        seen.referee().called(seen.now().get(), name, query, part, keys, version, work);
        FakeSliceStore.HeldSlice one = null;
        String turnedAway = null;
        synchronized (this) {
            if (!unsliced) {
                one = held.tryAccept(slice, version, keys);
                turnedAway = one == null ? "moved" : null;
            }
            if (turnedAway == null && waiting >= QUEUE) {
                if (one != null) {
                    held.completeCall(one);
                }
                turnedAway = "later";
            }
            waiting += turnedAway == null ? 1 : 0;
        }
        if (turnedAway != null) {
            seen.referee().callEnded(query, part);
            send(socket, "q" + part + " " + turnedAway + " 0 -\n");
            return;
        }
        Work work = new Work(socket, query, part, keys, one, ask);
        int mine = life;
        workers.execute(() -> work(work, mine));
    }

    private void work(Work work, int mine) {
        try {
            while (hanging && mine == life) {
                Thread.sleep(5);
            }
            if (mine != life) {
                return;
            }
            if (givenUp.remove(work.part)) {
                over(work);
                send(work.socket, "q" + work.part + " later 0 -\n");
                return;
            }
            boolean written = work.query.contains("book") || work.query.contains("hold");
            boolean repeated =
                    written && repeated(work.query, work.keys) && work.query.contains("book");
            if (!repeated) {
                seen.referee().ran(seen.now().get(), work.query, work.part, work.keys);
            }
            Thread.sleep(
                    this.work
                            .plusNanos((long) (chance() * WORK_MORE.toNanos()))
                            .multipliedBy(slowness)
                            .toMillis());
            over(work);
            String answer =
                    chance() < badAnswers
                            ? "q" + work.part + " bad 0 -\n"
                            : "q"
                                    + work.part
                                    + " good 0 -\n"
                                    + (work.ask == null
                                            ? InvariantChecker.valueOf(work.query, work.keys)
                                            : page(work));
            if (chance() < lateAnswers) {
                ScheduledFuture<?> unused =
                        workers.schedule(
                                () -> late(work.socket, answer),
                                (long) (chance() * 500),
                                TimeUnit.MILLISECONDS);
            } else {
                send(work.socket, answer);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            IoUtils.safeClose(work.socket);
        }
    }

    /** Its rows of the part in the order asked for, and no more of them than fit into an answer. */
    private String page(Work work) throws IOException {
        RowCodec.FetchRequest asked = RowCodec.decodeFetchRequest(work.ask);
        int most = Integer.MAX_VALUE;
        while (true) {
            PartialPage partial =
                    SortedRows.answer(asked.sortOrder(), asked.fetches(), setRows, work.keys, most);
            byte[] bytes =
                    RowCodec.encodePartialPage(
                            spoilsOrder && partial.rows().size() > 1
                                    ? new PartialPage(
                                            work.keys,
                                            SortedRows.turned(partial.rows()),
                                            partial.nextPosition())
                                    : partial);
            if (bytes.length <= ANSWER_MOST) {
                return new String(bytes, StandardCharsets.UTF_8);
            }
            most = partial.rows().size() / 2;
        }
    }

    private void late(Socket socket, String answer) {
        try {
            send(socket, answer);
        } catch (IOException e) {
            IoUtils.safeClose(socket);
        }
    }

    private void over(Work work) {
        synchronized (this) {
            waiting--;
            if (work.held != null) {
                held.completeCall(work.held);
            }
        }
        seen.referee().callEnded(work.query, work.part);
    }

    /** What nodes hand over with a slice: which keys of a deduplicated query have run. */
    private boolean repeated(String query, KeyRange keys) {
        Map<KeyRange, Boolean> ran =
                seen.runs().computeIfAbsent(query, key -> new ConcurrentHashMap<>());
        synchronized (ran) {
            boolean before = ran.keySet().stream().anyMatch(keys::overlaps);
            ran.put(keys, true);
            return before;
        }
    }

    private synchronized double chance() {
        return chance.nextDouble();
    }

    // ---- orders

    private void order(Socket socket, String line) throws IOException {
        String[] words = line.split(" ", 0);
        if (words[0].equals("SAY")) {
            say(socket, words);
            return;
        }
        ReceivedOrder order = ReceivedOrder.parse(line);
        send(socket, order.response(execute(order)));
    }

    /** Carries out an order and returns the status for its response. */
    private synchronized String execute(ReceivedOrder order) {
        if (order.term() < term) {
            return "stale";
        }
        term = order.term();
        if (held.isOvertaken(order.slice(), order.number())) {
            return "overtaken";
        }
        boolean copyDone = isCopyDone(order);
        if (order.command() == HandoffCommand.DROP) {
            copies.remove(order.slice());
        }
        boolean done =
                !hanging
                        && held.execute(
                                order.command(),
                                order.slice(),
                                order.keys(),
                                order.version(),
                                order.number(),
                                copyDone);
        return done ? "done" : "busy";
    }

    /** A copy takes a random time from the first order for the slice on; own data take none. */
    private boolean isCopyDone(ReceivedOrder order) {
        long readyAt =
                copies.computeIfAbsent(
                        order.slice(),
                        slice ->
                                System.nanoTime()
                                        + (long) (chance.nextDouble() * COPY_MOST.toNanos()));
        return order.command() == HandoffCommand.COPY
                && (order.sourceAddress().equals(dialAddress()) || System.nanoTime() >= readyAt);
    }

    /**
     * What it has: each row is what has run of a query whose keys begin there, the same wherever it
     * was copied to.
     */
    private void say(Socket socket, String[] words) throws IOException {
        StringBuilder said = new StringBuilder();
        boolean has;
        synchronized (this) {
            has = held.find(Integer.parseInt(words[2])) != null && !hanging;
        }
        if (!has) {
            return;
        }
        for (String range : words[3].split(",", 0)) {
            int dash = range.indexOf('-');
            KeyRange keys =
                    new KeyRange(
                            Long.parseLong(range.substring(0, dash)),
                            Long.parseLong(range.substring(dash + 1)));
            TreeSet<String> rows = new TreeSet<>();
            seen.runs()
                    .forEach(
                            (query, ran) ->
                                    ran.keySet().stream()
                                            .filter(one -> at(query, one, keys))
                                            .forEach(one -> rows.add(query + " " + one)));
            said.append(said.isEmpty() ? "" : ",")
                    .append(
                            String.format(
                                    "{\"from\":%d,\"to\":%d,\"open\":0,\"mark\":%d,"
                                            + "\"rows\":%d,\"bytes\":%d,\"digest\":\"%x%s\"}",
                                    keys.from(),
                                    keys.to(),
                                    rows.size(),
                                    rows.size(),
                                    100 * rows.size(),
                                    rows.toString().hashCode(),
                                    spoilt ? "x" : ""));
        }
        send(socket, "sSAY " + words[1] + " " + words[2] + " {\"said\":[" + said + "]}");
    }

    /** A row lies at one of the keys that its query asked for. */
    private static boolean at(String query, KeyRange asked, KeyRange keys) {
        long key =
                asked.from() + Math.floorMod(query.hashCode() * 0x9E3779B97F4A7C15L, asked.size());
        return keys.from() <= key && key < keys.to();
    }

    /** From now on it says that its rows are others than they are. */
    public void spoil(boolean now) {
        spoilt = now;
    }

    private static void send(Socket socket, String frame) throws IOException {
        byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
        byte[] framed =
                ByteBuffer.allocate(Integer.BYTES + bytes.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(bytes.length)
                        .put(bytes)
                        .array();
        synchronized (socket) {
            socket.getOutputStream().write(framed);
        }
    }

    /**
     * What it has of the key space; of a slice it gives the rows that lie in the keys asked for.
     */
    public void setRows(List<Row> all) {
        setRows = List.copyOf(all);
    }

    /** From now on its rows come with two of them turned. */
    public void setSwapsRows(boolean spoils) {
        spoilsOrder = spoils;
    }

    // ---- troubles

    /**
     * Sets the share of parts that run and are answered with an error, and of answers that come
     * late.
     */
    public void setFaultRates(double bad, double late) {
        badAnswers = bad;
        lateAnswers = late;
    }

    /** What each part works, and up to so much more as ever. */
    void setWork(Duration each) {
        work = each;
    }

    /** From now on each part takes so many times as long. */
    public void setSlowdown(int times) {
        slowness = times;
    }

    /** Whether it accepts calls and answers none. */
    public void setHanging(boolean hangs) {
        hanging = hangs;
    }

    /** Ends all connections; what it had taken ends nowhere. */
    public synchronized void crash() {
        life++;
        IoUtils.safeClose(server);
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // It is closed next.
            }
            IoUtils.safeClose(socket);
        }
        waiting = 0;
        held.restarted();
        copies.clear();
    }

    /** Is back at its address, and holds what it is told. */
    public synchronized void restart() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address, 200);
        daemon(this::accept, "node-" + name).start();
        seen.referee().nodeStarted(seen.now().get(), name);
    }

    @Override
    public void close() {
        crash();
        workers.shutdownNow();
    }
}
