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

/**
 * The simulator's wire: reads batches of events, hands each to its instance, writes one reply a
 * batch.
 */
public final class SimulatorSession {
    private static final int BUFFER = 1 << 16;
    private static final int SCOPE_FULL = 1;
    private static final int SCOPE_CACHED = 2;
    private static final int SCOPE_FAILED = 3;

    private final LineReader in;
    private final OutputStream sink;
    private final StringBuilder out = new StringBuilder();
    private final Map<Integer, SimulatedRouter> routers = new HashMap<>();
    private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();
    private final Set<SimulatedRouter> touchedRouters = new LinkedHashSet<>();

    public SimulatorSession(InputStream source, OutputStream sink) {
        this.in =
                new LineReader(
                        new BufferedReader(
                                new InputStreamReader(source, StandardCharsets.UTF_8), BUFFER));
        this.sink = sink;
    }

    /** Serves batches until the input ends. */
    public void run() throws IOException {
        while (in.nextLine()) {
            try {
                if (!"SYNC".equals(in.nextField())) {
                    throw in.malformed("a batch starts with SYNC");
                }
                readBatch(in.number());
            } catch (NoSuchElementException | IllegalArgumentException e) {
                throw in.malformed(e.getMessage());
            }
            out.append("DONE\n");
            sink.write(out.toString().getBytes(StandardCharsets.UTF_8));
            sink.flush();
            out.setLength(0);
        }
    }

    private void readBatch(long clock) throws IOException {
        touchedRouters.clear();
        while (true) {
            if (!in.nextLine()) {
                throw in.malformed("the input ends within a batch");
            }
            String name = in.requiredText();
            if (name.equals("EOF_BATCH")) {
                break;
            }
            readEvent(name, clock);
        }
        for (SimulatedRouter instance : touchedRouters) {
            runGuarded(instance, () -> instance.policy().onBatchEnd(instance.sinceStart(clock)));
            instance.pollDiscovery(instance.sinceStart(clock));
        }
    }

    private void readEvent(String name, long clock) throws IOException {
        if (name.equals("SNAPSHOT_ROWS")) {
            readList();
            return;
        }
        int id = (int) in.number();
        if (name.equals("CREATE")) {
            long seed = in.number();
            InstanceSettings info = new InstanceSettings();
            while (in.hasMoreFields()) {
                info.putPair(in.requiredText());
            }
            SimulatedRouter created = new SimulatedRouter(id, seed, info, clock, out);
            touchedRouters.remove(routers.put(id, created));
            touchedRouters.add(created);
            return;
        }
        SimulatedRouter instance = routers.get(id);
        if (instance == null) {
            throw in.malformed("no instance " + id);
        }
        if (name.equals("DETACH")) {
            routers.remove(id);
            touchedRouters.remove(instance);
            return;
        }
        touchedRouters.add(instance);
        Duration now = instance.sinceStart(clock);
        runGuarded(instance, () -> dispatch(name, instance, now));
    }

    private void dispatch(String name, SimulatedRouter instance, Duration now) {
        switch (name) {
            case "INGRESS" -> instance.onRequest(now, in);
            case "REPORT_BACK" -> instance.onAttemptReport(now, in);
            case "RING" -> instance.onTimer(now, in);
            case "REGISTRY" -> onRegistry(now, instance);
            case "ABANDONED" -> instance.onClientAbandoned(now, in);
            case "CHECKED" -> instance.onProbeResult(now, in);
            // No vertical is streamed, and the routers tell each other nothing.
            case "FIRST", "NEIGHBOUR_SAYS" -> {}
            default -> throw new IllegalArgumentException("unknown message " + name);
        }
    }

    private void onRegistry(Duration now, SimulatedRouter instance) {
        int slot = (int) in.number(0);
        int scope = (int) in.number();
        if (scope != SCOPE_CACHED) {
            instance.onListResponse(now, scope == SCOPE_FAILED);
        }
        if (scope == SCOPE_FAILED) {
            return;
        }
        List<Endpoint> entries = endpointLists.get(slot);
        if (entries == null) {
            throw new IllegalArgumentException("no list " + slot);
        }
        instance.onEndpointList(now, entries, scope == SCOPE_FULL || scope == SCOPE_CACHED);
    }

    private void readList() throws IOException {
        int slot = (int) in.number();
        long count = in.number();
        List<Endpoint> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!in.nextLine() || !"ROW".equals(in.nextField())) {
                throw in.malformed("the list has too few rows");
            }
            entries.add(readRow());
        }
        endpointLists.put(slot, entries);
    }

    private Endpoint readRow() {
        String zone = in.nextField();
        int cell = (int) in.number(0);
        String address = in.requiredText();
        in.nextField();
        long started = in.number(0);
        in.nextField();
        Readiness readiness =
                switch ((int) in.number()) {
                    case 0 -> Readiness.REMOVED;
                    case 1 -> Readiness.READY;
                    case 2 -> Readiness.DRAINING;
                    default -> throw new IllegalArgumentException("unknown readiness");
                };
        return new Endpoint(address, zone, cell, started, readiness);
    }

    /**
     * A failure of the decisions is told to the simulator; a field that can't be read ends the run.
     */
    private void runGuarded(SimulatedRouter instance, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            for (StackTraceElement frame : e.getStackTrace()) {
                if (frame.getClassName().startsWith(RoutingPolicy.class.getPackageName() + ".")) {
                    instance.reportPanic(e);
                    return;
                }
            }
            throw e;
        }
    }
}
