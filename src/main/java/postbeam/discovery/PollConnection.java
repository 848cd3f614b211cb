package postbeam.discovery;

import java.io.Closeable;
import java.io.InputStream;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

/**
 * A connection of a {@link LongPollWatcher} with the thread that sends its requests, one at a time.
 * The thread ends when the connection is closed.
 */
final class PollConnection implements Closeable {
    /** Is told of the progress of a request, on the connection's thread. */
    interface ResponseHandler {
        /** The connection is established and the request was sent. */
        void onRequestSent();

        /** The first byte of the response arrived. */
        void onFirstByte();

        /** The response is complete; its body is in memory. */
        void onResponse(InputStream body);

        /** No response arrived, or not a usable one. */
        void onFailure(Throwable failure);
    }

    private record Request(String path, Duration timeout, ResponseHandler handler) {}

    private final HttpGetClient http;
    private final int maxBytes;
    private final BlockingQueue<Request> requests = new ArrayBlockingQueue<>(1);
    private final Thread thread;

    /**
     * Creates a connection, which is established with its first request.
     *
     * @param threadName name of its thread
     * @param address HOST:PORT of the server
     * @param maxBytes limit for the body of a response
     */
    PollConnection(String threadName, String address, int maxBytes) {
        this.http = new HttpGetClient(address);
        this.maxBytes = maxBytes;
        thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Sends a request. The previous one must have ended.
     *
     * @param path path and query of the request
     * @param timeout for connecting, the request and the complete response
     */
    void send(String path, Duration timeout, ResponseHandler handler) {
        requests.add(new Request(path, timeout, handler));
    }

    private void run() {
        try {
            while (true) {
                exchange(requests.take());
            }
        } catch (InterruptedException e) {
            // The connection is closed.
        }
    }

    private void exchange(Request request) {
        Duration timeout = request.timeout();
        HttpGetClient.Timeouts timeouts =
                new HttpGetClient.Timeouts(timeout, timeout, timeout, timeout);
        InputStream body;
        try {
            body = http.get(request.path(), maxBytes, timeouts, progress(request.handler()));
        } catch (Exception | Error e) {
            request.handler().onFailure(e);
            return;
        }
        request.handler().onResponse(body);
    }

    private static HttpGetClient.ProgressListener progress(ResponseHandler handler) {
        return new HttpGetClient.ProgressListener() {
            @Override
            public void onRequestSent() {
                handler.onRequestSent();
            }

            @Override
            public void onFirstByte() {
                handler.onFirstByte();
            }
        };
    }

    /** Aborts the pending request, if any, and ends the thread. */
    @Override
    public void close() {
        http.close();
        thread.interrupt();
    }
}
