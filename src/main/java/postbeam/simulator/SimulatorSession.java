package postbeam.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import postbeam.config.InstanceSettings;
import postbeam.policy.RoutingPolicy;

/**
 * A session of the simulator's wire protocol: reads batches of events, and writes one reply with
 * the resulting actions for each batch.
 */
public final class SimulatorSession {
    private static final int BUFFER_CHARS = 1 << 16;
    private static final String POLICY_PACKAGE = RoutingPolicy.class.getPackageName() + ".";

    private final LineReader in;
    private final EventReader events;
    private final OutputStream sink;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, SimulatedRouter> routers = new HashMap<>();

    /** The routers with an event in the current batch, in the order of their first events. */
    private final Set<SimulatedRouter> routersInBatch = new LinkedHashSet<>();

    /** Creates a session that reads events from the source and writes replies to the sink. */
    public SimulatorSession(InputStream source, OutputStream sink) {
        InputStreamReader characters = new InputStreamReader(source, StandardCharsets.UTF_8);
        this.in = new LineReader(new BufferedReader(characters, BUFFER_CHARS));
        this.events = new EventReader(in);
        this.sink = sink;
    }

    /**
     * Serves batches until the input ends.
     *
     * @throws MalformedLineException if the input does not follow the wire protocol
     * @throws IOException if the source can't be read or the sink can't be written
     */
    public void run() throws IOException {
        while (in.nextLine()) {
            try {
                if (!"SYNC".equals(in.nextField())) {
                    throw in.malformed("a batch must start with SYNC");
                }
                readBatch(in.requiredNumber());
            } catch (InvalidFieldException | IllegalArgumentException e) {
                // Invalid settings are reported as IllegalArgumentException.
                throw in.malformed(e.getMessage());
            }
            reply.append("DONE\n");
            sink.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            sink.flush();
            reply.setLength(0);
        }
    }

    private void readBatch(long clockMicros) throws IOException {
        routersInBatch.clear();
        while (true) {
            if (!in.nextLine()) {
                throw in.malformed("the input ends before EOF_BATCH");
            }
            String event = in.requiredText();
            if (event.equals("EOF_BATCH")) {
                break;
            }
            readEvent(event, clockMicros);
        }
        for (SimulatedRouter router : routersInBatch) {
            Duration now = router.sinceStart(clockMicros);
            runGuarded(router, () -> router.onBatchEnd(now));
            router.pollIfDue(now);
        }
    }

    private void readEvent(String event, long clockMicros) throws IOException {
        if (event.equals("SNAPSHOT_ROWS")) {
            events.readEndpointList();
            return;
        }
        int id = (int) in.requiredNumber();
        if (event.equals("CREATE")) {
            createRouter(id, clockMicros);
            return;
        }
        SimulatedRouter router = routers.get(id);
        if (router == null) {
            throw in.malformed("unknown router " + id);
        }
        if (event.equals("DETACH")) {
            routers.remove(id);
            routersInBatch.remove(router);
            return;
        }
        routersInBatch.add(router);
        RouterEvent read = events.readEvent(event);
        runGuarded(router, () -> read.deliverTo(router, router.sinceStart(clockMicros)));
    }

    private void createRouter(int id, long clockMicros) {
        long seed = in.requiredNumber();
        InstanceSettings settings = events.readSettings();
        SimulatedRouter created = new SimulatedRouter(id, seed, settings, clockMicros, reply);
        routersInBatch.remove(routers.put(id, created));
        routersInBatch.add(created);
    }

    /** Runs a step; reports an exception of the policy to the simulator, and throws any other. */
    private static void runGuarded(SimulatedRouter router, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            for (StackTraceElement frame : e.getStackTrace()) {
                if (frame.getClassName().startsWith(POLICY_PACKAGE)) {
                    router.onFailure(e);
                    return;
                }
            }
            throw e;
        }
    }
}
