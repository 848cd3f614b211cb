package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Discovery as PROTOCOL.md describes it: the whole list, and a watch that waits for what is newer.
 * All that it has is answered at once, but for a delay that a case may set.
 */
final class Discovery implements AutoCloseable {
    private final Trace trace;
    private final ServerSocket server;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Integer> changedAt = new LinkedHashMap<>();
    private int seq = 1;

    /** Time from when an answer is due until it is written. */
    volatile long delayMillis;

    Discovery(Trace trace) throws IOException {
        this.trace = trace;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        Threads.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Lists hosts; each entry is JSON that has the host's name as its first member. */
    synchronized void set(String... changed) {
        seq++;
        for (String entry : changed) {
            String host = entry.split("\"", -1)[3];
            entries.put(host, entry);
            changedAt.put(host, seq);
        }
        notifyAll();
    }

    synchronized String whole() {
        return list(true, entries.keySet());
    }

    private String list(boolean whole, Set<String> hosts) {
        StringBuilder text = new StringBuilder();
        for (String host : hosts) {
            text.append(text.length() == 0 ? "" : ",").append(entries.get(host));
        }
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + text + "]}";
    }

    private synchronized String changes(int index, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (seq <= index && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        Set<String> changed = new LinkedHashSet<>();
        changedAt.forEach(
                (host, at) -> {
                    if (at > index) {
                        changed.add(host);
                    }
                });
        return list(false, changed);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Threads.daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The case is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            String request;
            while ((request = in.readLine()) != null) {
                String line = in.readLine();
                while (line != null && !line.isEmpty()) {
                    line = in.readLine();
                }
                answer(socket, request);
            }
        } catch (IOException e) {
            // The router closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Socket socket, String request) throws IOException, InterruptedException {
        int index = number(request, "index=", -1);
        String body = index < 0 ? whole() : changes(index, number(request, "wait=", 0));
        long delay = delayMillis;
        Thread.sleep(delay);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[headBytes.length + bytes.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
        String what =
                "discovery is asked "
                        + request.split(" ", -1)[1]
                        + ", answers after "
                        + delay
                        + " ms with "
                        + bytes.length
                        + " bytes"
                        + (bytes.length < 400 ? " " + body : "");
        try {
            socket.getOutputStream().write(all);
            trace.line(what);
        } catch (IOException e) {
            trace.line(what + ", but the router has closed the connection");
            throw e;
        }
    }

    private static int number(String request, String name, int absent) {
        int at = request.indexOf(name);
        if (at < 0) {
            return absent;
        }
        int end = at + name.length();
        while (end < request.length() && Character.isDigit(request.charAt(end))) {
            end++;
        }
        return Integer.parseInt(request.substring(at + name.length(), end));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
