package postbeam.layoutservice;

import static java.util.Map.entry;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.stream.Collectors;
import org.xnio.IoUtils;
import postbeam.config.RouterConfig;
import postbeam.json.Json;
import postbeam.migration.MigrationAction;
import postbeam.migration.RangeDigest;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;

/**
 * Tells data nodes what to do with slices, over the frames that they speak: letter s, then a line
 * of order, move, slice, first key, last key, version and the source's address or -; answered with
 * s and order, move, slice and done or busy. A thread and a connection a node, so that one that
 * hangs holds up no other. What is not answered, for whatever cause, is told again by the one who
 * decides: each order may come twice.
 */
final class HandoffClient implements Closeable {
    private static final System.Logger LOG = System.getLogger(HandoffClient.class.getName());
    static final char FRAME_TYPE = 's';

    /** Orders that wait for one node; what finds no room is told again later. */
    private static final int MAX_QUEUED_PER_NODE = 256;

    /** How long an answer is waited for; nodes answer at once, with busy where the work goes on. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_RESPONSE_BYTES = 1024;

    /** What a node says of up to 256 ranges of keys. */
    private static final int MAX_DIGEST_RESPONSE_BYTES = 128 << 10;

    /**
     * Asks a node what it has: this, a number, the slice and ranges; answered with this, both, and
     * JSON.
     */
    private static final String DIGEST_REQUEST = "SAY";

    private static final WireNames<HandoffCommand> COMMAND_NAMES =
            WireNames.of(
                    HandoffCommand.class,
                    "an unknown order",
                    entry(HandoffCommand.COPY, "COPY"),
                    entry(HandoffCommand.HOLD, "HOLD"),
                    entry(HandoffCommand.FENCE, "FENCE"),
                    entry(HandoffCommand.SERVE, "SERVE"),
                    entry(HandoffCommand.DROP, "DROP"));

    /** Hears which orders were done. */
    interface CompletionListener {
        void onDone(long move, String node, HandoffCommand command, int slice);
    }

    /** Hears what nodes say of what they have. */
    interface DigestListener {
        void onDigests(long number, String node, List<RangeDigest> said);
    }

    private final CompletionListener done;
    private final Map<String, NodeWorker> workers = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();

    private DigestListener digestListener;
    private Runnable onSuperseded;
    private long term;

    HandoffClient(CompletionListener done) {
        this.done = done;
    }

    /**
     * From now on orders carry this term; whoever is listening hears once that a node has taken one
     * of a higher term.
     */
    synchronized void startTerm(long next, DigestListener listener, Runnable overtaken) {
        term = next;
        digestListener = listener;
        onSuperseded = overtaken;
    }

    /** Where nodes are; threads and connections of those that have gone are given back. */
    synchronized void updateAddresses(Map<String, String> now) {
        addresses.clear();
        addresses.putAll(now);
        workers.entrySet()
                .removeIf(
                        entry -> {
                            boolean moved =
                                    !entry.getValue().address.equals(now.get(entry.getKey()));
                            if (moved) {
                                entry.getValue().close();
                            }
                            return moved;
                        });
    }

    synchronized void send(CoordinatorAction.SendCommand tell) {
        String address = addresses.get(tell.node());
        if (address != null) {
            String source =
                    tell.source() == null ? "-" : addresses.getOrDefault(tell.source(), "-");
            workers.computeIfAbsent(tell.node(), node -> new NodeWorker(node, address))
                    .waiting
                    .offer(
                            new PendingRequest(
                                    tell, null, line(tell, source) + (term > 0 ? " " + term : "")));
        }
    }

    synchronized void requestDigests(MigrationAction.RequestDigests ask) {
        String address = addresses.get(ask.node());
        if (address != null) {
            String ranges =
                    ask.ranges().stream()
                            .map(keys -> keys.from() + "-" + keys.to())
                            .collect(Collectors.joining(","));
            workers.computeIfAbsent(ask.node(), node -> new NodeWorker(node, address))
                    .waiting
                    .offer(
                            new PendingRequest(
                                    null,
                                    ask,
                                    DIGEST_REQUEST
                                            + " "
                                            + ask.requestId()
                                            + " "
                                            + ask.slice()
                                            + " "
                                            + ranges));
        }
    }

    private static String line(CoordinatorAction.SendCommand tell, String source) {
        return COMMAND_NAMES.of(tell.command())
                + " "
                + tell.move()
                + " "
                + tell.slice()
                + " "
                + tell.keys().from()
                + " "
                + tell.keys().to()
                + " "
                + tell.version()
                + " "
                + source;
    }

    @Override
    public synchronized void close() {
        workers.values().forEach(NodeWorker::close);
        workers.clear();
    }

    private record PendingRequest(
            CoordinatorAction.SendCommand tell, MigrationAction.RequestDigests ask, String line) {}

    /** Owner of one node's connection and thread. */
    private final class NodeWorker implements Runnable, Closeable {
        private final String node;
        private final String address;
        private final BlockingQueue<PendingRequest> waiting =
                new ArrayBlockingQueue<>(MAX_QUEUED_PER_NODE);
        private final Thread thread;
        private Socket socket;
        private boolean failing;

        NodeWorker(String node, String address) {
            this.node = node;
            this.address = address;
            thread = new Thread(this, "orders-" + node);
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void run() {
            try {
                while (!Thread.interrupted()) {
                    ask(waiting.take());
                }
            } catch (InterruptedException e) {
                // Closed.
            } finally {
                IoUtils.safeClose(socket);
            }
        }

        private void ask(PendingRequest asked) {
            try {
                if (socket == null) {
                    Socket next = new Socket();
                    socket = next;
                    next.setTcpNoDelay(true);
                    next.connect(
                            RouterConfig.socketAddress(address), (int) RESPONSE_TIMEOUT.toMillis());
                    next.setSoTimeout((int) RESPONSE_TIMEOUT.toMillis());
                }
                send(socket.getOutputStream(), FRAME_TYPE + asked.line);
                if (asked.ask != null) {
                    said(
                            asked.ask,
                            read(
                                    new DataInputStream(socket.getInputStream()),
                                    MAX_DIGEST_RESPONSE_BYTES));
                    return;
                }
                String[] answer =
                        read(new DataInputStream(socket.getInputStream()), MAX_RESPONSE_BYTES)
                                .split(" ");
                CoordinatorAction.SendCommand tell = asked.tell;
                if (answer.length < 4
                        || !answer[0].equals(FRAME_TYPE + COMMAND_NAMES.of(tell.command()))
                        || !answer[1].equals(String.valueOf(tell.move()))
                        || !answer[2].equals(String.valueOf(tell.slice()))) {
                    throw new IOException("an answer to no order: " + String.join(" ", answer));
                }
                failing = false;
                if (answer[3].equals("stale")) {
                    onSuperseded.run();
                } else if (answer[3].equals("done")) {
                    done.onDone(tell.move(), node, tell.command(), tell.slice());
                }
            } catch (IOException | RuntimeException e) {
                IoUtils.safeClose(socket);
                socket = null;
                if (!failing) {
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "node {0} at {1} takes no orders: {2}",
                            node,
                            address,
                            e.toString());
                }
                failing = true;
            }
        }

        private void said(MigrationAction.RequestDigests ask, String answer) throws IOException {
            String head =
                    FRAME_TYPE + DIGEST_REQUEST + " " + ask.requestId() + " " + ask.slice() + " ";
            if (!answer.startsWith(head)) {
                throw new IOException("an answer to no question");
            }
            failing = false;
            digestListener.onDigests(
                    ask.requestId(),
                    node,
                    MigrationRecordCodec.digests(
                            Json.parseObject(
                                    answer.substring(head.length())
                                            .getBytes(StandardCharsets.UTF_8))));
        }

        private static void send(OutputStream out, String frame) throws IOException {
            byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
            out.write(
                    ByteBuffer.allocate(Integer.BYTES + bytes.length)
                            .order(ByteOrder.LITTLE_ENDIAN)
                            .putInt(bytes.length)
                            .put(bytes)
                            .array());
        }

        private static String read(DataInputStream in, int longest) throws IOException {
            int length = Integer.reverseBytes(in.readInt());
            if (length < 1 || length > longest) {
                throw new IOException("a frame of " + length + " bytes");
            }
            byte[] bytes = new byte[length];
            in.readFully(bytes);
            return new String(bytes, StandardCharsets.UTF_8);
        }

        @Override
        public void close() {
            thread.interrupt();
        }
    }
}
