package postbeam.testbed.fakes;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;

/**
 * A data node that does with each part what it was told, spoilt answers among it, and remembers the
 * frames.
 */
public final class ScriptedDataNode implements Closeable {
    public final ServerSocket server = new ServerSocket(0, 50, LoopbackAddresses.next());
    public final BlockingQueue<String> frames = new LinkedBlockingQueue<>();
    public final List<Socket> sockets = new CopyOnWriteArrayList<>();

    /** What came on which connection and when, for the reader of a failed test. */
    private final List<String> history = new CopyOnWriteArrayList<>();

    private final long startNanos = System.nanoTime();

    /**
     * good, bad, later, silent, twice, noisy, stray, endless, reset, garbage, unusable, oversized.
     */
    public volatile String mode = "good";

    /** Listens on a loopback address of its own. */
    public ScriptedDataNode() throws IOException {
        daemon(this::accept);
    }

    private static void daemon(Runnable run) {
        Thread thread = new Thread(run, "scripted node");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                record(socket, "accepted");
                daemon(
                        () -> {
                            try (socket) {
                                serve(socket);
                            } catch (IOException e) {
                                // Its router has gone, or the test is over.
                                record(socket, "ended");
                            }
                        });
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private void record(Socket socket, String event) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        history.add(millis + " ms, from port " + socket.getPort() + ": " + event);
    }

    /** Each connection's accept, frames and end with its time and its peer's port. */
    public List<String> history() {
        return List.copyOf(history);
    }

    private void serve(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            byte[] frame = in.readNBytes(Integer.reverseBytes(in.readInt()));
            String text = new String(frame, StandardCharsets.UTF_8);
            record(socket, text.lines().findFirst().orElse(""));
            if (text.charAt(0) == 'm') {
                if (mode.equals("reset")) {
                    frames.add("reset " + text);
                    socket.setSoLinger(true, 0);
                    return;
                }
                parts(socket, text.substring(1));
            } else if (text.charAt(0) == 'o' || text.charAt(0) == 'p') {
                send(socket, text.charAt(0) + (mode.equals("silent") ? "bad" : "good"));
            } else {
                frames.add(text);
            }
        }
    }

    private void parts(Socket socket, String parts) throws IOException {
        String rest = parts;
        while (!rest.isEmpty()) {
            int end = rest.indexOf('\n');
            String[] words = rest.substring(0, end).split(" ", 0);
            int after = end + 1 + Integer.parseInt(words[3]);
            frames.add("m " + words[0] + " " + words[1] + " " + rest.substring(end + 1, after));
            answer(socket, words[0]);
            rest = rest.substring(after);
        }
    }

    private void answer(Socket socket, String id) throws IOException {
        switch (mode) {
            case "silent" -> {}
            case "garbage" -> send(socket, "x?");
            case "unusable" -> send(socket, "rno such shard");
            case "oversized" -> socket.getOutputStream().write(new byte[] {0, 0, 0, 127});
            case "stray" -> send(socket, "qnobody.1 good 0 -\nx");
            case "endless" ->
                    socket.getOutputStream()
                            .write(
                                    ("\377\0\0\0q" + id + " good 0 -\n")
                                            .getBytes(StandardCharsets.ISO_8859_1));
            case "noisy" -> {
                send(socket, "q" + id + " good 0 \7 ?\nv" + id);
                socket.getOutputStream().write(new byte[] {9, 0, 0});
            }
            case "twice" -> {
                send(socket, "q" + id + " good 0 -\nfirst");
                send(socket, "q" + id + " good 0 -\nsecond");
            }
            default -> send(socket, "q" + id + " " + mode + " 0 -\nv" + id);
        }
    }

    /** Sends a frame: its length, then the text in UTF-8. */
    public void send(Socket socket, String frame) throws IOException {
        byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < Integer.BYTES; i++) {
            out.write(bytes.length >> (8 * i));
        }
        out.write(bytes);
        socket.getOutputStream().write(out.toByteArray());
    }

    /** Where it listens, as host:port. */
    public String dialAddress() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Its entry in discovery's list. */
    public String hostEntry(String name, String health) {
        return FakeDiscovery.hostEntry(name, dialAddress(), "a", health, 0);
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
        sockets.forEach(IoUtils::safeClose);
    }
}
