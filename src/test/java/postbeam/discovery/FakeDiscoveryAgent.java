package postbeam.discovery;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A discovery agent on loopback. The test receives each request, and responds to it or leaves it
 * without a response.
 */
final class FakeDiscoveryAgent implements Closeable {
    /** Far longer than the time limits of any request. */
    private static final long REQUEST_TIMEOUT_SECONDS = 30;

    /** A received request. */
    record Request(Socket socket, String path, long receivedAtNanos) {
        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void respond(String body) throws IOException {
            send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /**
         * Sends the body one byte at a time until the client closes the connection. Returns once
         * some bytes have been sent.
         */
        void trickle(long intervalNanos) throws InterruptedException {
            CountDownLatch started = new CountDownLatch(10);
            startDaemonThread(
                    () -> {
                        // Nagle's algorithm would delay bytes until earlier ones are acknowledged.
                        socket.setTcpNoDelay(true);
                        send("HTTP/1.1 200 OK\r\nContent-Length: 260000\r\n\r\n");
                        while (true) {
                            LockSupport.parkNanos(intervalNanos);
                            send("1");
                            started.countDown();
                        }
                    });
            started.await();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final int port;
    private ServerSocket server;
    private Thread acceptThread;

    FakeDiscoveryAgent() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        port = server.getLocalPort();
        startAccepting(server);
    }

    static Thread startDaemonThread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The client or the test has closed the socket.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    int connections() {
        return sockets.size();
    }

    /** Waits for the next request. */
    Request nextRequest() throws InterruptedException {
        Request request = requests.poll(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no request was received");
        }
        return request;
    }

    /**
     * Closes the listening socket, and returns once connections are refused: while a thread is
     * still accepting, the closed socket may take one more.
     */
    void refuseConnections() throws IOException, InterruptedException {
        server.close();
        acceptThread.join();
    }

    void acceptConnections() throws IOException {
        ServerSocket reopened = new ServerSocket();
        reopened.setReuseAddress(true);
        while (!reopened.isBound()) {
            try {
                reopened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            } catch (BindException e) {
                // The previous listening socket is not released yet.
                Thread.onSpinWait();
            }
        }
        server = reopened;
        startAccepting(reopened);
    }

    private void startAccepting(ServerSocket listener) {
        acceptThread =
                startDaemonThread(
                        () -> {
                            while (true) {
                                Socket socket = listener.accept();
                                sockets.add(socket);
                                startDaemonThread(() -> read(socket));
                            }
                        });
    }

    private void read(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String line;
        while ((line = in.readLine()) != null) {
            String path = line.split(" ", -1)[1];
            while (!in.readLine().isEmpty()) {
                // The headers are not checked.
            }
            requests.add(new Request(socket, path, System.nanoTime()));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
