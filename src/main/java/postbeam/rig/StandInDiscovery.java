package postbeam.rig;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.xnio.IoUtils;

/** Discovery on loopback: the whole list at once, and again when it changes. */
final class StandInDiscovery implements Closeable {
    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Map<String, String> entries = new LinkedHashMap<>();
    private long version = 1;

    StandInDiscovery() throws IOException {
        Thread thread = new Thread(this::accept, "stand-in discovery");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The health is up, draining or removed. */
    synchronized void tell(StandInNode node, String health, long bornMs) {
        entries.put(node.name, "{\"host\":\"" + node.name + "\",\"dial\":\"" + node.dial() + "\",\"site\":\"" + node.zone
                + "\",\"class\":\"m\",\"block\":0,\"health\":\"" + health + "\",\"born_ms\":" + bornMs + "}");
        version++;
        notifyAll();
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
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                    StandardCharsets.UTF_8));
            String line;
            while ((line = in.readLine()) != null) {
                String path = line.split(" ")[1];
                while (!in.readLine().isEmpty()) {
                    // Headers say nothing here.
                }
                byte[] body = body(path).getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                socket.getOutputStream().write(body);
            }
        } catch (IOException | InterruptedException e) {
            // Its asker has gone.
        } finally {
            sockets.remove(socket);
        }
    }

    private synchronized String body(String path) throws InterruptedException {
        int at = path.indexOf("index=");
        if (at >= 0) {
            long known = Long.parseLong(path.substring(at + 6, path.indexOf('&')));
            long end = System.nanoTime() + Long.parseLong(path.substring(path.indexOf("wait=") + 5)) * 1_000_000;
            while (known >= version && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
        }
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", entries.values()) + "]}";
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
        sockets.forEach(IoUtils::safeClose);
    }
}
