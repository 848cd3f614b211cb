package postbeam.layouts;

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
import postbeam.migration.Doing;
import postbeam.migration.Said;
import postbeam.setup.Json;
import postbeam.setup.Startup;
import postbeam.slices.Act;
import postbeam.slices.Order;

/**
 * Tells data nodes what to do with slices, over the frames that they speak: letter s, then a line
 * of order, move, slice, first key, last key, version and the source's address or -; answered with
 * s and order, move, slice and done or busy. A thread and a connection a node, so that one that
 * hangs holds up no other. What is not answered, for whatever cause, is told again by the one who
 * decides: each order may come twice.
 */
final class NodeOrders implements Closeable {
    private static final System.Logger LOG = System.getLogger(NodeOrders.class.getName());
    static final char ORDER = 's';

    /** Orders that wait for one node; what finds no room is told again later. */
    private static final int WAITING_MOST = 256;

    /** How long an answer is waited for; nodes answer at once, with busy where the work goes on. */
    private static final Duration ANSWER_MOST = Duration.ofSeconds(1);

    private static final int ANSWER_LONGEST = 1024;

    /** What a node says of up to 256 ranges of keys. */
    private static final int SAID_LONGEST = 128 << 10;

    /**
     * Asks a node what it has: this, a number, the slice and ranges; answered with this, both, and
     * JSON.
     */
    private static final String SAY = "SAY";

    private static final WireNames<Order> ORDERS =
            WireNames.of(
                    Order.class,
                    "an unknown order",
                    entry(Order.COPY, "COPY"),
                    entry(Order.HOLD, "HOLD"),
                    entry(Order.FENCE, "FENCE"),
                    entry(Order.SERVE, "SERVE"),
                    entry(Order.DROP, "DROP"));

    /** Hears which orders were done. */
    interface Done {
        void done(long move, String node, Order order, int slice);
    }

    /** Hears what nodes say of what they have. */
    interface Heard {
        void said(long number, String node, List<Said> said);
    }

    private final Done done;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();

    private Heard heard;
    private Runnable stale;
    private long term;

    NodeOrders(Done done) {
        this.done = done;
    }

    /**
     * From now on orders carry this term; whoever is listening hears once that a node has taken one
     * of a higher term.
     */
    synchronized void office(long next, Heard listener, Runnable overtaken) {
        term = next;
        heard = listener;
        stale = overtaken;
    }

    /** Where nodes are; threads and connections of those that have gone are given back. */
    synchronized void reachedAt(Map<String, String> now) {
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

    synchronized void tell(Act.Tell tell) {
        String address = addresses.get(tell.node());
        if (address != null) {
            String source =
                    tell.source() == null ? "-" : addresses.getOrDefault(tell.source(), "-");
            workers.computeIfAbsent(tell.node(), node -> new Worker(node, address))
                    .waiting
                    .offer(
                            new Asked(
                                    tell, null, line(tell, source) + (term > 0 ? " " + term : "")));
        }
    }

    synchronized void ask(Doing.Ask ask) {
        String address = addresses.get(ask.node());
        if (address != null) {
            String ranges =
                    ask.ranges().stream()
                            .map(keys -> keys.from() + "-" + keys.to())
                            .collect(Collectors.joining(","));
            workers.computeIfAbsent(ask.node(), node -> new Worker(node, address))
                    .waiting
                    .offer(
                            new Asked(
                                    null,
                                    ask,
                                    SAY + " " + ask.number() + " " + ask.slice() + " " + ranges));
        }
    }

    private static String line(Act.Tell tell, String source) {
        return ORDERS.of(tell.order())
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
        workers.values().forEach(Worker::close);
        workers.clear();
    }

    private record Asked(Act.Tell tell, Doing.Ask ask, String line) {}

    /** Owner of one node's connection and thread. */
    private final class Worker implements Runnable, Closeable {
        private final String node;
        private final String address;
        private final BlockingQueue<Asked> waiting = new ArrayBlockingQueue<>(WAITING_MOST);
        private final Thread thread;
        private Socket socket;
        private boolean failing;

        Worker(String node, String address) {
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

        private void ask(Asked asked) {
            try {
                if (socket == null) {
                    Socket next = new Socket();
                    socket = next;
                    next.setTcpNoDelay(true);
                    next.connect(Startup.socketAddress(address), (int) ANSWER_MOST.toMillis());
                    next.setSoTimeout((int) ANSWER_MOST.toMillis());
                }
                send(socket.getOutputStream(), ORDER + asked.line);
                if (asked.ask != null) {
                    said(
                            asked.ask,
                            read(new DataInputStream(socket.getInputStream()), SAID_LONGEST));
                    return;
                }
                String[] answer =
                        read(new DataInputStream(socket.getInputStream()), ANSWER_LONGEST)
                                .split(" ");
                Act.Tell tell = asked.tell;
                if (answer.length < 4
                        || !answer[0].equals(ORDER + ORDERS.of(tell.order()))
                        || !answer[1].equals(String.valueOf(tell.move()))
                        || !answer[2].equals(String.valueOf(tell.slice()))) {
                    throw new IOException("an answer to no order: " + String.join(" ", answer));
                }
                failing = false;
                if (answer[3].equals("stale")) {
                    stale.run();
                } else if (answer[3].equals("done")) {
                    done.done(tell.move(), node, tell.order(), tell.slice());
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

        private void said(Doing.Ask ask, String answer) throws IOException {
            String head = ORDER + SAY + " " + ask.number() + " " + ask.slice() + " ";
            if (!answer.startsWith(head)) {
                throw new IOException("an answer to no question");
            }
            failing = false;
            heard.said(
                    ask.number(),
                    node,
                    NotedForm.said(
                            Json.object(
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
