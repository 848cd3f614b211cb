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

/** {@code rehearse}: a start and a few queries, for the build's archive of loaded classes. */
@Parameters(
        commandDescription =
                "Start on a free loopback port, answer a few queries and end; the build records"
                        + " which classes that takes, so that serve need not read them one by one")
final class RehearseCommand implements Command {
    /** As many as it takes until nothing new is loaded. */
    private static final int QUERIES = 5;

    private static final byte[] BODY =
            "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}"
                    .getBytes(StandardCharsets.UTF_8);

    @Parameter(names = "--config", description = "File of JSON")
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
        // There is no data node, so that the query is rejected.
        if (connection.getResponseCode() != HttpURLConnection.HTTP_UNAVAILABLE) {
            throw new IOException("answered with " + connection.getResponseCode());
        }
        connection.disconnect();
    }
}
