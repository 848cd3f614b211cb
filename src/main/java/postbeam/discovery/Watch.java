package postbeam.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;
import postbeam.roster.Told;
import postbeam.setup.Json;

/** Follows the data-node list on a thread of its own, so that nothing stands before what is told. */
public final class Watch implements Runnable {
    private static final System.Logger LOG = System.getLogger(Watch.class.getName());
    /** How long a watch may wait: as in the protocol's example; what comes is told at once all the same. */
    private static final Duration WAIT = Duration.ofSeconds(20);
    /** How much longer than it may take an answer is waited for: by then it counts as told. */
    private static final Duration SLACK = Duration.ofSeconds(2);
    /** Between a failed call and the next: soon enough for a watch to go on. */
    private static final Duration PAUSE = Duration.ofMillis(100);
    /** Bytes: the protocol's limit for a body. */
    private static final int LONGEST = 64 << 10;

    private final String address;
    private final int cells;
    private final Consumer<Told> told;
    private volatile boolean stopped;
    private volatile HttpURLConnection call;
    private boolean failing;

    public Watch(String address, int cells, Consumer<Told> told) {
        this.address = address;
        this.cells = cells;
        this.told = told;
    }

    @Override
    public void run() {
        long version = -1;
        while (!stopped) {
            try {
                Told next = version < 0 ? ask("", SLACK)
                        : ask("?index=" + version + "&wait=" + WAIT.toMillis(), WAIT.plus(SLACK));
                synchronized (this) {
                    if (stopped) {
                        return;
                    }
                    told.accept(next);
                }
                version = next.version();
                if (failing) {
                    LOG.log(System.Logger.Level.INFO, "discovery answers again, list version {0}", version);
                }
                failing = false;
            } catch (IOException | RuntimeException | Error e) {
                if (stopped) {
                    return;
                }
                if (!failing) {
                    LOG.log(System.Logger.Level.WARNING, "discovery at {0}: {1}; the held list stays", address,
                            e.toString());
                }
                failing = true;
                // The whole list again: what a half answer would have told is not lost.
                version = -1;
                pause();
            }
        }
    }

    private void pause() {
        try {
            Thread.sleep(PAUSE.toMillis());
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    private Told ask(String query, Duration within) throws IOException {
        call = (HttpURLConnection) URI.create("http://" + address + "/v1/servers" + query).toURL()
                .openConnection(Proxy.NO_PROXY);
        call.setConnectTimeout((int) SLACK.toMillis());
        call.setReadTimeout((int) within.toMillis());
        int status = call.getResponseCode();
        if (status != HttpURLConnection.HTTP_OK) {
            call.disconnect();
            throw new IOException("status " + status);
        }
        try (InputStream body = call.getInputStream()) {
            byte[] bytes = body.readNBytes(LONGEST + 1);
            if (bytes.length > LONGEST) {
                call.disconnect();
                throw new IOException("a list of over " + LONGEST + " bytes");
            }
            return ListForm.read(Json.object(bytes), cells);
        }
    }

    /** Once it returns nothing more is told; a call that waits is broken off. */
    public void stop() {
        synchronized (this) {
            stopped = true;
        }
        HttpURLConnection waiting = call;
        if (waiting != null) {
            waiting.disconnect();
        }
    }
}
