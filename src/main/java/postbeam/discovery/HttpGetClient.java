package postbeam.discovery;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Proxy;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import postbeam.config.RouterConfig;

/**
 * Sends GET requests to one address, one at a time, over a persistent connection. Each request has
 * one deadline for connect, head and body together, and earlier deadlines for its parts. A response
 * that does not arrive, arrives too slowly or never ends times out, and its connection is closed.
 * Requests are not retried and redirects are not followed.
 *
 * <p>Undertow's client is not used because it does not limit the response head; MAX_HEADER_SIZE
 * applies to listeners only. One endless header would fill the heap and block the thread that
 * serves clients.
 *
 * <p>One thread sends requests; {@link #close} may be called on any thread.
 */
final class HttpGetClient implements Closeable {
    /**
     * Timeouts of a request.
     *
     * @param connect until the connection is established
     * @param firstByte from sending the request to the first byte of the response
     * @param remainder from the first byte to the last byte of the response
     * @param total for the complete request and response
     */
    record Timeouts(Duration connect, Duration firstByte, Duration remainder, Duration total) {}

    /** Is told of the progress of a request, on the requesting thread. */
    interface ProgressListener {
        /** Listener that ignores all calls. */
        ProgressListener NONE =
                new ProgressListener() {
                    @Override
                    public void onRequestSent() {}

                    @Override
                    public void onFirstByte() {}
                };

        /** The connection is established and the request was sent. */
        void onRequestSent();

        /** The first byte of the response arrived. */
        void onFirstByte();
    }

    private final String address;
    private final DeadlineInput input = new DeadlineInput();

    /**
     * Null between a failure and the next request. Written by the requesting thread and by {@link
     * #close}.
     */
    private volatile Socket socket;

    /** Guarded by this. */
    private boolean closed;

    HttpGetClient(String address) {
        this.address = address;
    }

    /** Sends a GET request without a listener; see the other method of this name. */
    InputStream get(String path, int maxBytes, Timeouts timeouts) throws IOException {
        return get(path, maxBytes, timeouts, ProgressListener.NONE);
    }

    /**
     * Sends a GET request and returns the body of the response.
     *
     * @param path path and query of the request
     * @param maxBytes limit for the body
     * @param timeouts timeouts of the request
     * @param listener is told of the request's progress
     * @throws IOException if no response with status 200 arrives within the limits; the message
     *     states the reason
     */
    InputStream get(String path, int maxBytes, Timeouts timeouts, ProgressListener listener)
            throws IOException {
        input.begin(timeouts.total(), maxBytes);
        boolean reusable = false;
        try {
            Socket connection = socket;
            if (connection == null) {
                input.setTimeout(timeouts.connect());
                connection = connect();
            }
            connection.getOutputStream().write(request(path));
            listener.onRequestSent();
            input.setTimeout(timeouts.firstByte());
            if (!input.hasMore()) {
                throw new EOFException(
                        "connection to "
                                + address
                                + " closed before the first byte of the response");
            }
            listener.onFirstByte();
            input.setTimeout(timeouts.remainder());
            HttpResponseReader reader = new HttpResponseReader(input, maxBytes);
            InputStream body = reader.read();
            reusable = reader.isConnectionReusable();
            return body;
        } catch (SocketTimeoutException e) {
            throw new IOException(
                    "response from "
                            + address
                            + " not complete in time: limits are "
                            + timeouts.connect().toMillis()
                            + " ms to connect, "
                            + timeouts.firstByte().toMillis()
                            + " ms to the first byte, "
                            + timeouts.remainder().toMillis()
                            + " ms for the rest, "
                            + timeouts.total().toMillis()
                            + " ms in all",
                    e);
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
                throw new IOException("the HTTP client is closed");
            }
            socket = newSocket;
        }
        newSocket.connect(RouterConfig.socketAddress(address), input.millisLeft());
        input.attach(newSocket);
        return newSocket;
    }

    /** Closes the connection; the next request opens a new one. */
    private void closeConnection() {
        Socket oldSocket = socket;
        socket = null;
        if (oldSocket != null) {
            try {
                oldSocket.close();
            } catch (IOException e) {
                // The socket is released even if its close fails.
            }
        }
    }

    /** Aborts the request in progress; later requests fail. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
        }
        closeConnection();
    }
}
