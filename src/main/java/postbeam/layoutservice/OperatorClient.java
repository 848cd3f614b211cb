package postbeam.layoutservice;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Sends an operator's request to a layout service and prints the response. */
final class OperatorClient {
    /** The exit status of a request that failed. */
    static final int EXIT_FAILED = 1;

    private static final int EXIT_SUCCESS = 0;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int FIRST_ERROR_STATUS = 400;

    private final String address;
    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates a client for one service.
     *
     * @param address HOST:PORT of the service
     * @param out receives the texts of successful responses
     * @param err receives the texts of error responses
     */
    OperatorClient(String address, PrintStream out, PrintStream err) {
        this.address = address;
        this.out = out;
        this.err = err;
    }

    /** Sends a GET request; returns the exit status. */
    int get(String path) throws IOException {
        return print(connect("GET", path));
    }

    /** Sends a POST request; returns the exit status. */
    int post(String path, String body) throws IOException {
        HttpURLConnection connection = connect("POST", path);
        connection.setDoOutput(true);
        connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        return print(connection);
    }

    private HttpURLConnection connect(String method, String path) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection)
                        URI.create("http://" + address + path)
                                .toURL()
                                .openConnection(Proxy.NO_PROXY);
        connection.setRequestMethod(method);
        connection.setConnectTimeout((int) TIMEOUT.toMillis());
        connection.setReadTimeout((int) TIMEOUT.toMillis());
        return connection;
    }

    private int print(HttpURLConnection connection) throws IOException {
        boolean successful = connection.getResponseCode() < FIRST_ERROR_STATUS;
        try (InputStream body =
                successful ? connection.getInputStream() : connection.getErrorStream()) {
            String text =
                    body == null
                            ? ""
                            : new String(
                                    body.readNBytes(LayoutWatch.MAX_LAYOUT_BYTES),
                                    StandardCharsets.UTF_8);
            (successful ? out : err).println(text.stripTrailing());
        }
        return successful ? EXIT_SUCCESS : EXIT_FAILED;
    }
}
