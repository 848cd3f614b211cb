package postbeam.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;
import postbeam.config.InstanceSettings;
import postbeam.endpoints.Endpoint;
import postbeam.model.Readiness;
import postbeam.policy.RoutingPolicy;

/** A session on the simulator's wire: reads batches of events, and writes one reply for each. */
public final class SimulatorSession {
    private static final int BUFFER_CHARS = 1 << 16;
    private static final String POLICY_PACKAGE = RoutingPolicy.class.getPackageName() + ".";

    /** Scopes of an endpoint list. */
    private static final int SCOPE_COMPLETE = 1;

    private static final int SCOPE_CACHED = 2;
    private static final int SCOPE_FAILED = 3;

    private final LineReader in;
    private final OutputStream sink;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, SimulatedRouter> routers = new HashMap<>();
    private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();

    /** The routers with an event in the present batch, in order of their first. */
    private final Set<SimulatedRouter> touchedRouters = new LinkedHashSet<>();

    /** Creates a session that reads events from the source and writes replies to the sink. */
    public SimulatorSession(InputStream source, OutputStream sink) {
        InputStreamReader characters = new InputStreamReader(source, StandardCharsets.UTF_8);
        this.in = new LineReader(new BufferedReader(characters, BUFFER_CHARS));
        this.sink = sink;
    }

    /**
     * Serves batches until the input ends.
     *
     * @throws MalformedLineException where the input does not follow the wire
     * @throws IOException where the source can't be read or the sink can't be written
     */
    public void run() throws IOException {
        while (in.nextLine()) {
            try {
                if (!"SYNC".equals(in.nextField())) {
                    throw in.malformed("a batch starts with SYNC");
                }
                readBatch(in.requiredNumber());
            } catch (NoSuchElementException | IllegalArgumentException e) {
                throw in.malformed(e.getMessage());
            }
            reply.append("DONE\n");
            sink.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            sink.flush();
            reply.setLength(0);
        }
    }

    private void readBatch(long clockMicros) throws IOException {
        touchedRouters.clear();
        while (true) {
            if (!in.nextLine()) {
                throw in.malformed("the input ends within a batch");
            }
            String event = in.requiredText();
            if (event.equals("EOF_BATCH")) {
                break;
            }
            readEvent(event, clockMicros);
        }
        for (SimulatedRouter router : touchedRouters) {
            Duration now = router.sinceStart(clockMicros);
            runGuarded(router, () -> router.onBatchEnd(now));
            router.pollIfDue(now);
        }
    }

    private void readEvent(String event, long clockMicros) throws IOException {
        if (event.equals("SNAPSHOT_ROWS")) {
            readEndpointList();
            return;
        }
        int id = (int) in.requiredNumber();
        if (event.equals("CREATE")) {
            createRouter(id, clockMicros);
            return;
        }
        SimulatedRouter router = routers.get(id);
        if (router == null) {
            throw in.malformed("no instance " + id);
        }
        if (event.equals("DETACH")) {
            routers.remove(id);
            touchedRouters.remove(router);
            return;
        }
        touchedRouters.add(router);
        Duration now = router.sinceStart(clockMicros);
        runGuarded(router, () -> dispatch(event, router, now));
    }

    private void createRouter(int id, long clockMicros) {
        long seed = in.requiredNumber();
        InstanceSettings settings = new InstanceSettings();
        while (in.hasMoreFields()) {
            settings.putPair(in.requiredText());
        }
        SimulatedRouter created = new SimulatedRouter(id, seed, settings, clockMicros, reply);
        touchedRouters.remove(routers.put(id, created));
        touchedRouters.add(created);
    }

    private void dispatch(String event, SimulatedRouter router, Duration now) {
        switch (event) {
            case "INGRESS" -> router.onIngress(now, in);
            case "REPORT_BACK" -> router.onAttemptReport(now, in);
            case "RING" -> router.onTimer(now, in);
            case "REGISTRY" -> onEndpointList(now, router);
            case "ABANDONED" -> router.onClientAbandoned(now, in);
            case "CHECKED" -> router.onProbeResult(now, in);
            case "FIRST", "NEIGHBOUR_SAYS" -> {
                // No class of queries is streamed, and simulated routers do not gossip.
            }
            default -> throw new IllegalArgumentException("unknown message " + event);
        }
    }

    private void onEndpointList(Duration now, SimulatedRouter router) {
        int list = (int) in.number(0);
        int scope = (int) in.requiredNumber();
        if (scope != SCOPE_CACHED) {
            router.onPollResult(now, scope == SCOPE_FAILED);
        }
        if (scope == SCOPE_FAILED) {
            return;
        }
        List<Endpoint> endpoints = endpointLists.get(list);
        if (endpoints == null) {
            throw new IllegalArgumentException("no list " + list);
        }
        boolean complete = scope == SCOPE_COMPLETE || scope == SCOPE_CACHED;
        router.onEndpointList(now, endpoints, complete);
    }

    private void readEndpointList() throws IOException {
        int list = (int) in.requiredNumber();
        long count = in.requiredNumber();
        List<Endpoint> endpoints = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!in.nextLine() || !"ROW".equals(in.nextField())) {
                throw in.malformed("the list has too few rows");
            }
            endpoints.add(readEndpoint());
        }
        endpointLists.put(list, endpoints);
    }

    private Endpoint readEndpoint() {
        String zone = in.nextField();
        int cell = (int) in.number(0);
        String address = in.requiredText();
        in.skipField();
        long startedMicros = in.number(0);
        in.skipField();
        Readiness readiness = readiness((int) in.requiredNumber());
        return new Endpoint(address, zone, cell, startedMicros, readiness);
    }

    private static Readiness readiness(int wireNumber) {
        return switch (wireNumber) {
            case 0 -> Readiness.REMOVED;
            case 1 -> Readiness.READY;
            case 2 -> Readiness.DRAINING;
            default -> throw new IllegalArgumentException("unknown readiness");
        };
    }

    /**
     * Tells the simulator of a failure of the policy; a field that can't be read ends the session.
     */
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
