package review2;

import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A query router, started by the run command of deploy/balancer.toml from the repository's root. */
final class Router implements AutoCloseable {
    /** What a configuration has beside the usual. */
    record Setup(int memoryMb, int cells, int shards, String known) {}

    final int port;
    private volatile Process process;
    private final Trace trace;
    private final Path log;
    private boolean ended;

    Router(Trace trace, Path folder, Discovery discovery, Setup setup) throws IOException {
        this.trace = trace;
        port = freePort();
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(port, discovery.address(), setup));
        log = folder.resolve("router.log");
        Path temporary = Files.createDirectory(folder.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.directory(root().toFile());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
        synchronized (this) {
            if (!ended) {
                process = builder.start();
            }
        }
        if (process == null) {
            throw new IOException("the case is being ended");
        }
        trace.line("router started: " + Files.readString(config).replaceAll("\\{\"host\".*?\\},?", "."));
    }

    /** Ends the process on each way out; after it none is started. */
    private synchronized void kill() {
        ended = true;
        if (process != null) {
            process.destroyForcibly();
        }
    }

    static Path root() {
        return Path.of(System.getProperty("root")).toAbsolutePath();
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(root().resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.indexOf('"', 7));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** The settings of a small deployment: those of deploy/example.json, with seats' verticals. */
    private static String config(int port, String discovery, Setup setup) {
        return "{\"name\": \"n0\", \"listen\": \"127.0.0.1:" + port + "\",\n"
                + " \"discovery\": \"" + discovery + "\", \"seed\": \"8c1f30d27a5be964\",\n"
                + " \"limits\": {\"cores\": 1.0, \"memory_mb\": " + setup.memoryMb()
                + ", \"sockets\": 1024},\n"
                + (setup.known() == null ? "" : " \"known\": " + setup.known() + ",\n")
                + " \"settings\": {\"zone\": \"a\", \"nInstances\": 1,\n"
                + "  \"domain\": {\"cells\": " + setup.cells() + ", \"reach\": 1, \"shards\": "
                + setup.shards() + ", \"partsACall\": 16, \"callCost\": 80000,\n"
                + "   \"classNeed\": [0.75, 1.0], \"leastShare\": [0.75, 1.0],"
                + " \"shortWorth\": [0.9, 0.9], \"followUp\": [0, 0]},\n"
                + "  \"caps\": {\"maxAttempts\": 3, \"mayDuplicate\": true, \"cancelling\": true,"
                + " \"probes\": true, \"maxStreams\": 32, \"mostHeld\": 360,\n"
                + "   \"connectTimeout\": 250000, \"keepalive\": 15000000, \"retryAfter\": true,"
                + " \"maxRetryAfter\": 500000},\n"
                + "  \"obligations\": {\"coldFrom\": 0.19, \"rampTime\": 14000000,"
                + " \"fallMultiple\": 2.0, \"fall\": 1000000, \"stopSendingWithin\": 2000000},\n"
                + "  \"report\": {\"how\": \"none\"},\n"
                + "  \"classes\": [\n"
                + "   {\"name\": \"search\", \"promise\": 2500000, \"deadline\": 7500000,"
                + " \"effect\": \"retryable\", \"worth\": 2.0, \"lateWorth\": 0.1},\n"
                + "   {\"name\": \"hold\", \"promise\": 2000000, \"deadline\": 6000000,"
                + " \"effect\": \"fragile\", \"worth\": 1.0, \"lateWorth\": 0.1}],\n"
                + "  \"tenants\": [{\"name\": \"acme\", \"quotaPerS\": 50.0},\n"
                + "   {\"name\": \"borealis\", \"quotaPerS\": 50.0}]}}\n";
    }

    /** Waits until /healthz answers 200, as the front does. */
    void awaitReady(int seconds) throws Case.CannotRun, InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (!process.isAlive()) {
                throw new Case.CannotRun("the router ended: " + logText());
            }
            if (healthy()) {
                trace.line("/healthz answers 200");
                return;
            }
            Thread.sleep(100);
        }
        throw new Case.CannotRun("the router was not ready within " + seconds + " s: " + logText());
    }

    boolean healthy() {
        Exchange check = new Exchange(trace, port, "healthz", false);
        check.send("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n");
        return check.await(2000).status == 200;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGTERM; returns whether the process ended within this time. */
    boolean terminate(int seconds) throws InterruptedException {
        process.destroy();
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    String logText() {
        try {
            String text = Files.readString(log, StandardCharsets.UTF_8);
            return text.substring(0, Math.min(text.length(), 4000));
        } catch (IOException e) {
            return "(no log)";
        }
    }

    @Override
    public void close() {
        kill();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        trace.line("the router's log:\n" + logText());
    }

    static void delete(File file) {
        File[] inside = file.listFiles();
        if (inside != null) {
            for (File one : inside) {
                delete(one);
            }
        }
        file.delete();
    }
}
