package review2;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A sound data node: speaks the frames of PROTOCOL.md on a loopback address, works on each part for
 * a time that the case chooses, and answers with the value that belongs to the part. A cancel drops
 * nothing: running work goes on, as the briefs say.
 */
final class DataNode implements AutoCloseable {
    /** How long a part works. */
    interface Work {
        long millis(String id, String text);
    }

    /** A part that came: seconds since the start at its frame's last byte, its id, its text. */
    record Part(double at, String id, byte[] text) {}

    final String name;
    final List<Part> parts = new CopyOnWriteArrayList<>();
    /** Whether it drains: it finishes what it has, and turns away what is new. */
    volatile boolean draining;

    private final Trace trace;
    private final Work work;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    DataNode(String name, Trace trace, Work work) throws IOException {
        this.name = name;
        this.trace = trace;
        this.work = work;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        Threads.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The value that a data node makes for a part: any router has to hand on just this. */
    static String value(String id, String text) {
        return "value-of-" + id.substring(id.lastIndexOf('.') + 1) + "-for-" + text;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                open.add(socket);
                Threads.daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // Closed: the case is over, or the node was taken away.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                int length = Integer.reverseBytes(in.readInt());
                byte[] frame = in.readNBytes(length);
                if (frame.length < length) {
                    return;
                }
                switch (frame[0]) {
                    case 'm' -> call(socket, frame);
                    case 'o' -> send(socket, "ogood".getBytes(StandardCharsets.UTF_8));
                    case 'p' -> send(socket, "p-".getBytes(StandardCharsets.UTF_8));
                    case 'n' ->
                            trace.line(
                                    name
                                            + " is told to give up "
                                            + new String(
                                                    frame, 1, length - 1, StandardCharsets.UTF_8));
                    default -> throw new IOException("an unknown letter");
                }
            }
        } catch (IOException e) {
            // The router closed the connection.
        } finally {
            open.remove(socket);
        }
    }

    private void call(Socket socket, byte[] frame) {
        int at = 1;
        while (at < frame.length) {
            int end = at;
            while (frame[end] != '\n') {
                end++;
            }
            String[] words = new String(frame, at, end - at, StandardCharsets.UTF_8).split(" ", 0);
            int length = Integer.parseInt(words[3]);
            byte[] bytes = java.util.Arrays.copyOfRange(frame, end + 1, end + 1 + length);
            at = end + 1 + length;
            String text = new String(bytes, StandardCharsets.UTF_8);
            parts.add(new Part(trace.seconds(), words[0], bytes));
            trace.line(
                    name + " gets part " + words[0] + " " + words[2] + " text " + printable(bytes));
            boolean turnedAway = draining;
            Threads.daemon(() -> run(socket, words[0], text, turnedAway));
        }
    }

    private void run(Socket socket, String id, String text, boolean turnedAway) {
        try {
            if (turnedAway) {
                trace.line(name + " drains and turns part " + id + " away");
                send(socket, ("q" + id + " later 0 -\n").getBytes(StandardCharsets.UTF_8));
                return;
            }
            Thread.sleep(work.millis(id, text));
            String value = value(id, text);
            trace.line(name + " has run part " + id + " and answers " + value);
            send(socket, ("q" + id + " good 1 -\n" + value).getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            trace.line(name + " can't answer part " + id + ": its connection is gone");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(Socket socket, byte[] frame) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(4 + frame.length).order(ByteOrder.LITTLE_ENDIAN);
        bytes.putInt(frame.length).put(frame);
        synchronized (socket) {
            socket.getOutputStream().write(bytes.array());
        }
    }

    static String printable(byte[] bytes) {
        StringBuilder text = new StringBuilder();
        for (byte b : bytes) {
            if (text.length() > 60) {
                return text + "... (" + bytes.length + " bytes)";
            }
            text.append(b > ' ' && b < 127 ? "" + (char) b : String.format("\\x%02x", b & 0xff));
        }
        return text.toString();
    }

    /** What discovery tells of this node. */
    String entry(String health) {
        return entry(name, address(), 0, health);
    }

    /** An entry in the form of PROTOCOL.md, section Discovery. */
    static String entry(String host, String dial, int block, String health) {
        return "{\"host\":\""
                + host
                + "\",\"dial\":\""
                + dial
                + "\",\"site\":\"a\",\"class\":\"m2\",\"block\":"
                + block
                + ",\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    List<Part> partsAfter(double seconds) {
        List<Part> late = new ArrayList<>();
        for (Part part : parts) {
            if (part.at() > seconds) {
                late.add(part);
            }
        }
        return late;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
