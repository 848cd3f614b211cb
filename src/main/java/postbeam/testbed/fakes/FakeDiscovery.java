package postbeam.testbed.fakes;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import org.xnio.IoUtils;

/** Discovery on loopback: the whole list at once, and again when it changes. */
public final class FakeDiscovery implements Closeable {
    public final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Map<String, String> entries = new LinkedHashMap<>();

    /** Paths that it was asked for. */
    public final BlockingQueue<String> requestedPaths = new LinkedBlockingQueue<>();

    private long version = 1;

    /** Told instead of the entries where it is not null. */
    private String raw;

    private boolean half;

    /** How much later than due the response to a request is sent. */
    private volatile Duration responseDelay = Duration.ZERO;

    /** Listens on a free port of the loopback interface and lists no host. */
    public FakeDiscovery() throws IOException {
        this(null);
    }

    /** Tells these hosts, as they are. */
    public FakeDiscovery(String hosts) throws IOException {
        raw = hosts;
        Thread thread = new Thread(this::accept, "stand-in discovery");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where it listens, as host:port. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The health is up, draining or removed. */
    public synchronized void tell(FakeDataNode node, String health, long bornMs) {
        entries.put(node.name, hostEntry(node.name, node.dialAddress(), node.zone, health, bornMs));
        version++;
        notifyAll();
    }

    /** From now on these hosts, as they are. */
    public synchronized void tell(String hosts) {
        raw = hosts;
        version++;
        notifyAll();
    }

    /** The next answer breaks off in its middle. */
    public synchronized void tellHalf() {
        half = true;
        version++;
        notifyAll();
    }

    /** Responses to requests that arrive from now on are sent this much later than they are due. */
    public void delayResponses(Duration delay) {
        responseDelay = delay;
    }

    /** One host as it stands in the list. */
    public static String hostEntry(
            String name, String dial, String zone, String health, long bornMs) {
        return "{\"host\":\""
                + name
                + "\",\"dial\":\""
                + dial
                + "\",\"site\":\""
                + zone
                + "\",\"class\":\"m\",\"block\":0,\"health\":\""
                + health
                + "\",\"born_ms\":"
                + bornMs
                + "}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                Thread thread = new Thread(() -> serve(socket), "stand-in discovery");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // The run is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String line;
            while ((line = in.readLine()) != null) {
                String path = line.split(" ", 0)[1];
                while (!in.readLine().isEmpty()) {
                    // Headers say nothing here.
                }
                requestedPaths.add(path);
                Duration delay = responseDelay;
                byte[] body = body(path).getBytes(StandardCharsets.UTF_8);
                Thread.sleep(delay.toMillis());
                socket.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                                        .getBytes(StandardCharsets.UTF_8));
                if (breaksOff()) {
                    socket.getOutputStream().write(body, 0, body.length / 2);
                    return;
                }
                socket.getOutputStream().write(body);
            }
        } catch (IOException | InterruptedException e) {
            // Its asker has gone.
        } finally {
            sockets.remove(socket);
        }
    }

    private synchronized boolean breaksOff() {
        boolean breaks = half;
        half = false;
        return breaks;
    }

    private synchronized String body(String path) throws InterruptedException {
        int at = path.indexOf("index=");
        if (at >= 0) {
            long known = Long.parseLong(path.substring(at + 6, path.indexOf('&')));
            long end =
                    System.nanoTime()
                            + Long.parseLong(path.substring(path.indexOf("wait=") + 5)) * 1_000_000;
            while (known >= version && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
        }
        return "{\"seq\":"
                + version
                + ",\"whole\":true,\"hosts\":["
                + (raw != null ? raw : String.join(",", entries.values()))
                + "]}";
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
        sockets.forEach(IoUtils::safeClose);
    }
}
