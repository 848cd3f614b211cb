import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Stand-ins for the review's cases: data nodes, the discovery agent, clients, and the router as a
 * process of its own. Everything is on loopback addresses and uses the real clock.
 */
final class Rig implements Closeable {
    /** The course of one case; it ends by {@link #finish}. */
    interface Course {
        void run(Rig rig) throws Exception;
    }

    /** Longest duration of a case. */
    private static final int MOST_SECONDS = 112;

    /** Runs a case; a failure of the case itself, or one that takes too long, ends with status 2. */
    static void run(String caseDir, long seed, Course course) throws IOException {
        Rig rig = new Rig(caseDir, seed);
        rig.timers.schedule(
                () -> rig.finish(2, "the case took too long"), MOST_SECONDS, TimeUnit.SECONDS);
        try {
            course.run(rig);
            rig.finish(2, "the case has no verdict");
        } catch (Exception | Error e) {
            rig.finish(2, "the case could not run: " + e);
        }
    }

    /** What a data node does with the answer of one part. */
    interface Answers {
        /**
         * Writes the answer of a part that has run.
         *
         * @param waiting parts that are still unanswered on the same connection
         */
        void answer(Node node, Part part, int waiting) throws IOException;
    }

    /** How a data node of an installation whose slices move handles orders and calls. */
    interface Slices {
        /** Carries out an order and returns its answer. */
        String order(String order);

        /** Whether the node serves the slice for a call of this version. */
        boolean serves(int slice, long version);
    }

    /** One part as it arrived at a data node. */
    static final class Part {
        final String id;
        final String query;
        final int shard;
        final long deadlineMs;
        final String text;
        final NodeConnection connection;
        final long atMs;

        Part(String id, int shard, long deadlineMs, String text, NodeConnection connection, long atMs) {
            this.id = id;
            this.query = id.substring(0, id.lastIndexOf('.'));
            this.shard = shard;
            this.deadlineMs = deadlineMs;
            this.text = text;
            this.connection = connection;
            this.atMs = atMs;
        }
    }

    final Path dir;
    final boolean trouble;
    final Random random;
    private final Path record;
    private final StringBuilder lines = new StringBuilder();
    private final long startNanos = System.nanoTime();
    final List<Node> nodes = new CopyOnWriteArrayList<>();
    private final List<Closeable> open = new CopyOnWriteArrayList<>();
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(16, Rig::daemon);
    /** How often each part ran at a data node, by the part's id. */
    final Map<String, List<String>> runs = new ConcurrentHashMap<>();

    private Rig(String caseDir, long seed) throws IOException {
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record = Path.of(caseDir, "record.txt");
        random = new Random(seed);
        dir = Files.createTempDirectory("postbeam-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("trouble " + (trouble ? "on" : "off") + ", seed " + seed);
    }

    static Thread daemon(Runnable run) {
        Thread thread = new Thread(run);
        thread.setDaemon(true);
        return thread;
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void note(String line) {
        synchronized (lines) {
            lines.append(String.format(Locale.ROOT, "%8d ", nowMs())).append(line).append('\n');
        }
    }

    /** The value that a data node makes for a part: 16 hex digits. */
    static String valueOf(String query, int shard) {
        long hash = 1125899906842597L;
        for (char c : (query + "/" + shard).toCharArray()) {
            hash = 31 * hash + c;
        }
        hash ^= hash >>> 29;
        hash *= 0xbf58476d1ce4e5b9L;
        hash ^= hash >>> 32;
        return String.format(Locale.ROOT, "%016x", hash);
    }

    // ---- data nodes

    /** One connection from a router to a data node. */
    final class NodeConnection {
        final Socket socket;
        final Set<String> waiting = ConcurrentHashMap.newKeySet();

        /** Whether a spoilt answer went out, after which no other follows. */
        volatile boolean spoilt;

        NodeConnection(Socket socket) {
            this.socket = socket;
        }

        synchronized void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }
    }

    /** A frame of the data nodes' protocol; the stated length may differ from the real one. */
    static byte[] frame(String text, int lengthError) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(4 + bytes.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(bytes.length + lengthError)
                .put(bytes)
                .array();
    }

    /** A data node that runs each part once it has its turn and answers it. */
    final class Node implements Closeable {
        final String name;
        final String zone;
        final int cell;
        final ServerSocket server;
        final List<Socket> sockets = new CopyOnWriteArrayList<>();
        volatile Answers answers = Node::answerWell;
        volatile int workMs = 30;
        volatile int workMoreMs = 60;
        volatile String health = "up";
        volatile boolean hanging;
        volatile boolean quiet;

        /** Null where shards stay. */
        volatile Slices slices;

        Node(String name, String zone, int cell, String address) throws IOException {
            this.name = name;
            this.zone = zone;
            this.cell = cell;
            server = new ServerSocket(0, 200, InetAddress.getByName(address));
            daemon(this::accept).start();
            nodes.add(this);
            open.add(this);
        }

        String dial() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemon(() -> serve(new NodeConnection(socket))).start();
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(NodeConnection connection) {
            try (Socket socket = connection.socket) {
                DataInputStream in =
                        new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                while (true) {
                    int length = Integer.reverseBytes(in.readInt());
                    if (length < 1 || length > 1 << 21) {
                        throw new IOException("a frame of " + length + " bytes");
                    }
                    byte[] frame = new byte[length];
                    in.readFully(frame);
                    handle(connection, new String(frame, StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                // The router has gone.
            }
        }

        private void handle(NodeConnection connection, String frame) throws IOException {
            switch (frame.charAt(0)) {
                case 'm' -> call(connection, frame.substring(1));
                case 's' -> {
                    String answer = slices.order(frame.substring(1));
                    note(name + " was ordered " + frame.substring(1) + ", answers " + answer);
                    connection.write(frame("s" + answer, 0));
                }
                case 'n' -> note(name + " gave up " + frame.substring(1));
                case 'o', 'p' -> {
                    if (!hanging) {
                        connection.write(frame(frame.charAt(0) + "good", 0));
                    }
                }
                default -> throw new IOException("an unknown letter");
            }
        }

        private void call(NodeConnection connection, String parts) throws IOException {
            String rest = parts;
            while (!rest.isEmpty()) {
                int end = rest.indexOf('\n');
                String[] words = rest.substring(0, end).split(" ");
                int length = Integer.parseInt(words[3]);
                String text = rest.substring(end + 1, end + 1 + length);
                rest = rest.substring(end + 1 + length);
                long deadline = 0;
                long version = 0;
                for (String item : words[2].split(",")) {
                    if (item.startsWith("d=")) {
                        deadline = Long.parseLong(item.substring(2));
                    } else if (item.startsWith("v=")) {
                        version = Long.parseLong(item.substring(2));
                    }
                }
                Part part =
                        new Part(
                                words[0],
                                Integer.parseInt(words[1]),
                                deadline,
                                text,
                                connection,
                                nowMs());
                if (slices != null && !slices.serves(part.shard, version)) {
                    if (!quiet) {
                        note(name + " answers moved to " + part.id);
                    }
                    connection.write(frame("q" + part.id + " moved 0 -\n", 0));
                    continue;
                }
                connection.waiting.add(part.id);
                arrived.add(part);
                if (!quiet) {
                    note(name + " got " + part.id + " d=" + deadline);
                }
                int work;
                synchronized (random) {
                    work = workMs + random.nextInt(workMoreMs + 1);
                }
                timers.schedule(() -> run(part), work, TimeUnit.MILLISECONDS);
            }
        }

        final List<Part> arrived = new CopyOnWriteArrayList<>();

        private void run(Part part) {
            if (hanging) {
                timers.schedule(() -> run(part), 20, TimeUnit.MILLISECONDS);
                return;
            }
            runs.computeIfAbsent(part.id, id -> new CopyOnWriteArrayList<>()).add(name + "@" + nowMs());
            part.connection.waiting.remove(part.id);
            try {
                answers.answer(this, part, part.connection.waiting.size());
            } catch (IOException e) {
                // The router has closed this connection.
            }
        }

        void answerWell(Part part, int waiting) throws IOException {
            part.connection.write(
                    frame("q" + part.id + " good 0 -\n" + valueOf(part.query, part.shard), 0));
        }

        /** Ends as a process does: its connections are reset, and new ones are refused. */
        void end() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                if (!socket.isClosed()) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            }
        }

        String entry() {
            return entry(dial());
        }

        String entry(String dial) {
            return "{\"host\":\""
                    + name
                    + "\",\"dial\":\""
                    + dial
                    + "\",\"site\":\""
                    + zone
                    + "\",\"class\":\"std-2core\",\"block\":"
                    + cell
                    + ",\"health\":\""
                    + health
                    + "\",\"share\":1.0,\"born_ms\":0}";
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    // ---- the way from one peer to another

    /**
     * The way from one peer to another. While it is cut, open connections stay open and silent,
     * and new ones bring nothing and are reset once the cut is over. What was written to an open
     * connection during the cut arrives a while after it, as by TCP's retransmission.
     */
    final class Way implements Closeable {
        private final ServerSocket server;
        private final String name;
        private final String target;
        private final int arrivesLateMs;
        private boolean cut;
        private long cutOverMs;

        Way(Node node, int arrivesLateMs) throws IOException {
            this(node.name, node.dial(), arrivesLateMs);
        }

        Way(String name, String target, int arrivesLateMs) throws IOException {
            this.name = name;
            this.target = target;
            this.arrivesLateMs = arrivesLateMs;
            server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept).start();
            open.add(this);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized void cut(boolean begins) {
            cut = begins;
            cutOverMs = nowMs();
            note("the way to " + name + (begins ? " is cut" : " is back"));
            notifyAll();
        }

        private synchronized boolean isCut() {
            return cut;
        }

        private void accept() {
            try {
                while (true) {
                    Socket near = server.accept();
                    daemon(() -> carry(near)).start();
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void carry(Socket near) {
            try (near) {
                near.setTcpNoDelay(true);
                if (isCut()) {
                    awaitBack();
                    near.setSoLinger(true, 0);
                    return;
                }
                int colon = target.indexOf(':');
                try (Socket far =
                        new Socket(
                                target.substring(0, colon),
                                Integer.parseInt(target.substring(colon + 1)))) {
                    far.setTcpNoDelay(true);
                    Thread back = daemon(() -> pump(far, near, false));
                    back.start();
                    pump(near, far, true);
                    // What the node still answers goes nowhere.
                    Thread.sleep(500);
                }
            } catch (IOException | InterruptedException e) {
                // One of both has gone.
            }
        }

        private void pump(Socket from, Socket to, boolean towardsNode) {
            byte[] buffer = new byte[4096];
            try {
                int count;
                while ((count = from.getInputStream().read(buffer)) > 0) {
                    if (isCut()) {
                        if (!towardsNode) {
                            continue;
                        }
                        note(count + " bytes to " + name + " are held up by the cut");
                        awaitBack();
                        long left;
                        synchronized (this) {
                            left = cutOverMs + arrivesLateMs - nowMs();
                        }
                        Thread.sleep(Math.max(0, left));
                        note(count + " bytes that the cut held up reach " + name);
                    }
                    to.getOutputStream().write(buffer, 0, count);
                }
            } catch (IOException | InterruptedException e) {
                // One of both has gone.
            }
        }

        private synchronized void awaitBack() throws InterruptedException {
            while (cut) {
                wait();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- discovery

    /** The discovery agent: the whole list, and a watch that tells it again when it has changed. */
    final class Discovery implements Closeable {
        final ServerSocket server;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private long seq = 1;
        private String hosts;

        /** Addresses that this agent tells in place of the nodes' own, by name. */
        private final Map<String, String> dials;

        /** Whether it answers nothing, as an agent does while discovery can't be reached. */
        volatile boolean silent;

        /** How late each answer begins, in milliseconds. */
        volatile int lateMs;

        Discovery() throws IOException {
            this(Map.of());
        }

        Discovery(Map<String, String> dials) throws IOException {
            this.dials = dials;
            server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            hosts = entries();
            daemon(this::accept).start();
            open.add(this);
        }

        private String entries() {
            List<String> entries = new ArrayList<>();
            for (Node node : nodes) {
                if (node.health.equals("gone")) {
                    continue;
                }
                entries.add(node.entry(dials.getOrDefault(node.name, node.dial())));
            }
            return String.join(",", entries);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized String list() {
            return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + hosts + "]}";
        }

        synchronized void tell() {
            seq++;
            hosts = entries();
            note("discovery has version " + seq);
            notifyAll();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    daemon(() -> serve(socket)).start();
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    String path = line(in).split(" ")[1];
                    while (!line(in).isEmpty()) {
                        // Headers say nothing here.
                    }
                    byte[] body = body(path).getBytes(StandardCharsets.UTF_8);
                    Thread.sleep(lateMs);
                    while (silent) {
                        Thread.sleep(20);
                    }
                    note("discovery answers " + path);
                    OutputStream out = socket.getOutputStream();
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    all.write(
                            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                            + body.length
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                    all.write(body);
                    out.write(all.toByteArray());
                    out.flush();
                }
            } catch (IOException | InterruptedException e) {
                // Its asker has gone.
            }
        }

        private synchronized String body(String path) throws InterruptedException {
            int at = path.indexOf("index=");
            if (at >= 0) {
                long known = Long.parseLong(path.substring(at + 6, path.indexOf('&')));
                long end =
                        System.nanoTime()
                                + Long.parseLong(path.substring(path.indexOf("wait=") + 5))
                                        * 1_000_000;
                while (known >= seq && System.nanoTime() < end) {
                    wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
                }
                if (known >= seq) {
                    return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[]}";
                }
            }
            return list();
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new EOFException();
            }
            text.append((char) next);
        }
        return text.toString().stripTrailing();
    }

    // ---- the router, as the deploy file starts it

    /** A router in a process of its own. */
    final class Router implements Closeable {
        final String name;
        final int port;
        final Path config;
        final Path log;
        Process process;

        Router(String name) throws IOException {
            this.name = name;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                port = free.getLocalPort();
            }
            config = dir.resolve(name + ".json");
            log = dir.resolve(name + ".log");
            open.add(this);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        void configure(String discovery, String known, String limits, String settings)
                throws IOException {
            Path next = dir.resolve(name + ".json.new");
            Files.writeString(
                    next,
                    "{\"name\":\""
                            + name
                            + "\",\"listen\":\""
                            + address()
                            + "\",\"discovery\":\""
                            + discovery
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":"
                            + limits
                            + ",\"known\":"
                            + known
                            + ",\"settings\":"
                            + settings
                            + "}\n");
            Files.move(next, config, StandardCopyOption.REPLACE_EXISTING);
        }

        /** Starts it by the command of the deploy file. */
        void start() throws IOException {
            start("");
        }

        /** Starts it by the command of the deploy file with further arguments. */
        void start(String arguments) throws IOException {
            launch(deployCommand("run") + arguments);
        }

        /** Starts a process by a command, from the root. */
        void launch(String command) throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
            builder.directory(root().toFile());
            builder.environment().put("BALANCER_NAME", name);
            builder.environment().put("BALANCER_LISTEN", address());
            builder.environment().put("BALANCER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", dir.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
            process = Rig.this.start(builder);
            note(name + " started, process " + process.pid());
        }

        /** Waits until it is ready; ends the case with status 2 if that takes over 30 s. */
        void awaitReady() throws InterruptedException {
            long end = System.nanoTime() + 30_000_000_000L;
            while (System.nanoTime() < end) {
                try (Client client = new Client(port)) {
                    client.send("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                    if (client.read(2000).status == 200) {
                        note(name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                Thread.sleep(50);
            }
            finish(2, name + " is not ready within 30 s");
        }

        void signal(String signal) throws IOException, InterruptedException {
            note(name + " gets " + signal);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                    .start()
                    .waitFor();
        }

        @Override
        public void close() {
            if (process != null) {
                endAll(process);
            }
        }
    }

    static Path root() {
        return Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();
    }

    static String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(root().resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                int from = line.indexOf('"') + 1;
                return line.substring(from, line.indexOf('"', from));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    // ---- clients

    /** An answer over HTTP; the status is 0 where the connection ended without one. */
    record Reply(int status, String body, boolean keep) {}

    /** One connection of a client. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Reads one answer; status -1 where none is complete in time. */
        Reply read(int timeoutMs) throws IOException {
            socket.setSoTimeout(Math.max(1, timeoutMs));
            try {
                String status = line(in);
                int length = 0;
                boolean keep = true;
                for (String head = line(in); !head.isEmpty(); head = line(in)) {
                    String lower = head.toLowerCase(Locale.ROOT);
                    if (lower.startsWith("content-length:")) {
                        length = Integer.parseInt(lower.substring(15).strip());
                    }
                    if (lower.equals("connection: close")) {
                        keep = false;
                    }
                }
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    return new Reply(0, "", false);
                }
                return new Reply(
                        Integer.parseInt(status.split(" ")[1]),
                        new String(body, StandardCharsets.UTF_8).strip(),
                        keep);
            } catch (SocketTimeoutException e) {
                return new Reply(-1, "", false);
            } catch (EOFException e) {
                return new Reply(0, "", false);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A query as the protocol's page has it; the parts weigh the same. */
    static String query(
            String vertical, String id, String owner, int deadlineMs, List<Integer> shards) {
        StringBuilder ranges = new StringBuilder();
        for (int shard : shards) {
            ranges.append(ranges.length() == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(shard)
                    .append(",\"portion\":")
                    .append(1.0 / shards.size())
                    .append("}");
        }
        String body = "{\"ranges\":[" + ranges + "],\"predicate\":\"c41e77d0\"}";
        return "POST /"
                + vertical
                + "?obj=7f HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "
                + id
                + "\r\nReq-Owner: "
                + owner
                + "\r\nReq-Deadline-Ms: "
                + deadlineMs
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** The values of an answer by shard. */
    static Map<Integer, String> values(String json) {
        Map<Integer, String> values = new LinkedHashMap<>();
        java.util.regex.Matcher matcher =
                java.util.regex.Pattern.compile("\"range\":([0-9]+),\"blob\":\"([^\"]*)\"")
                        .matcher(json);
        while (matcher.find()) {
            values.put(Integer.parseInt(matcher.group(1)), matcher.group(2));
        }
        return values;
    }

    // ---- settings of a small deployment

    /** Settings with the given classes; the other figures are those of the example deployment. */
    static String settings(
            int cells, int reach, int shards, String classes, String need, String least) {
        return "{\"zone\":\"a\",\"nInstances\":1,\"domain\":{\"cells\":"
                + cells
                + ",\"reach\":"
                + reach
                + ",\"shards\":"
                + shards
                + ",\"partsACall\":16,\"callCost\":0,\"classNeed\":"
                + need
                + ",\"leastShare\":"
                + least
                + "},\"caps\":{\"maxAttempts\":3,\"mayDuplicate\":true,\"cancelling\":true,"
                + "\"probes\":true,\"maxStreams\":32,\"mostHeld\":200,\"connectTimeout\":250000,"
                + "\"keepalive\":15000000,\"retryAfter\":true,\"maxRetryAfter\":500000},"
                + "\"obligations\":{\"coldFrom\":0.19,\"rampTime\":14000000,\"fallMultiple\":2.0,"
                + "\"fall\":1000000,\"stopSendingWithin\":2000000},\"report\":{\"how\":\"none\"},"
                + "\"discovery\":\"automatic\",\"classes\":["
                + classes
                + "],\"tenants\":[{\"name\":\"kartli-rail\",\"quotaPerS\":1000.0}]}";
    }

    static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";

    // ---- the end

    /** Writes the record, ends what was started and exits with this status. */
    void finish(int status, String verdict) {
        note("verdict: " + verdict + ", exit status " + status);
        System.out.println(verdict);
        close();
        Runtime.getRuntime().halt(status);
    }

    private boolean closed;
    private final Set<Process> started = ConcurrentHashMap.newKeySet();

    /** Starts a process that ends with the case; none is started once the case has ended. */
    synchronized Process start(ProcessBuilder builder) throws IOException {
        if (closed) {
            throw new IOException("the case has ended");
        }
        Process process = builder.start();
        started.add(process);
        return process;
    }

    private static void endAll(Process process) {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        started.forEach(Rig::endAll);
        for (Closeable one : open) {
            if (one instanceof Router router) {
                router.close();
                try {
                    for (String line : Files.readAllLines(router.log)) {
                        note(router.name + " log: " + line);
                    }
                } catch (IOException e) {
                    note(router.name + " has no log");
                }
            }
        }
        for (Closeable one : open) {
            try {
                one.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
        try (Stream<Path> files = Files.walk(dir)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The temporary folder stays.
        }
        try {
            synchronized (lines) {
                Files.writeString(record, lines.toString());
            }
        } catch (IOException e) {
            System.out.println("the record can't be written: " + e);
        }
    }
}
