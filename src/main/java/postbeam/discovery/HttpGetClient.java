package postbeam.discovery;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.net.Proxy;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import postbeam.config.RouterConfig;

/**
 * Sends GET requests to one address, one at a time, over a connection that is kept between them.
 * Each has one deadline for connecting, head and body together, and earlier ones for its parts:
 * what stays silent, trickles or never ends is given up then, and its connection with it. Nothing
 * is retried and no redirection is followed.
 *
 * <p>Written by hand because Undertow's own client bounds no head (its MAX_HEADER_SIZE is the
 * listener's alone): one endless header would fill the heap and hold the thread that serves
 * clients.
 *
 * <p>One thread sends requests; {@link #close} may be called on any other.
 */
final class HttpGetClient implements Closeable {
    /**
     * How long a request may take.
     *
     * @param connect until the connection is up
     * @param firstByte from sending the request to the response's first byte
     * @param remainder from there to its last
     * @param total all of it
     */
    record Timeouts(Duration connect, Duration firstByte, Duration remainder, Duration total) {}

    private final String address;
    private final DeadlineInput input = new DeadlineInput();

    /**
     * Null between a failure and the next request; written by the requesting thread and by close.
     */
    private volatile Socket socket;

    /** Guarded by this. */
    private boolean closed;

    HttpGetClient(String address) {
        this.address = address;
    }

    /**
     * The body of a response with status 200.
     *
     * @param maxBytes that the body may have
     * @throws IOException if there is none within these limits; the message says why
     */
    byte[] get(String path, int maxBytes, Timeouts timeouts) throws IOException {
        input.begin(timeouts.total(), maxBytes);
        boolean reusable = false;
        try {
            Socket connection = socket;
            if (connection == null) {
                input.setTimeout(timeouts.connect());
                connection = connect();
            }
            connection.getOutputStream().write(request(path));
            input.setTimeout(timeouts.firstByte());
            if (!input.hasMore()) {
                throw new EOFException("closed before an answer");
            }
            input.setTimeout(timeouts.remainder());
            HttpResponseReader reader = new HttpResponseReader(input, maxBytes);
            byte[] body = reader.read();
            reusable = reader.isConnectionReusable();
            return body;
        } catch (SocketTimeoutException e) {
            throw new IOException("no whole answer in time", e);
        } finally {
            if (!reusable) {
                closeConnection();
            }
        }
    }

    private byte[] request(String path) {
        return ("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private Socket connect() throws IOException {
        Socket newSocket = new Socket(Proxy.NO_PROXY);
        synchronized (this) {
            if (closed) {
                throw new IOException("closed");
            }
            socket = newSocket;
        }
        newSocket.connect(RouterConfig.socketAddress(address), input.millisLeft());
        input.attach(newSocket);
        return newSocket;
    }

    /** The next request opens a new one. */
    private void closeConnection() {
        Socket oldSocket = socket;
        socket = null;
        if (oldSocket != null) {
            try {
                oldSocket.close();
            } catch (IOException e) {
                // It is given back all the same.
            }
        }
    }

    /** Breaks off a request that is under way, and lets none begin. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
        }
        closeConnection();
    }
}
