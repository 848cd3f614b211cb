package postbeam.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import postbeam.config.RouterConfig;
import postbeam.router.Router;

/**
 * {@code rehearse}: starts a router and sends it a few queries. The build runs it to record the
 * archive of loaded classes (class data sharing).
 */
@Parameters(
        commandDescription =
                "Start on a free loopback port, answer a few queries and exit; the build records"
                        + " which classes this loads, so that serve starts faster")
final class RehearseCommand implements Command {
    /** Number of queries to send: later ones load no further classes. */
    private static final int QUERIES = 5;

    private static final byte[] BODY =
            "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}"
                    .getBytes(StandardCharsets.UTF_8);

    @Parameter(names = "--config", description = "Configuration file in JSON")
    private String config = "deploy/rehearsal.json";

    @Override
    public int run() throws InterruptedException {
        LogRateLimiter.install();
        HangupSignal.handle(() -> {});
        try {
            Router router = new Router(RouterConfig.read(config));
            router.start();
            for (int i = 0; i < QUERIES; i++) {
                query(router.address(), "rehearsal" + i);
            }
            router.stop();
            return 0;
        } catch (IOException | RuntimeException e) {
            System.err.println("postbeam: rehearsal: " + ErrorMessages.firstLine(e));
            return 1;
        }
    }

    private static void query(String address, String id) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection)
                        URI.create("http://" + address + "/search?obj=1")
                                .toURL()
                                .openConnection(Proxy.NO_PROXY);
        connection.setDoOutput(true);
        connection.setRequestProperty("Req-Id", id);
        connection.setRequestProperty("Req-Owner", "acme");
        connection.getOutputStream().write(BODY);
        // The query is rejected, as the configuration has no data nodes.
        if (connection.getResponseCode() != HttpURLConnection.HTTP_UNAVAILABLE) {
            throw new IOException(
                    "expected HTTP status 503 for a query while there are no data nodes, got "
                            + connection.getResponseCode());
        }
        connection.disconnect();
    }
}
