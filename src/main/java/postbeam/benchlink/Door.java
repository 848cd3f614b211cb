package postbeam.benchlink;

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
import postbeam.Decide;
import postbeam.roster.Entry;
import postbeam.setup.Info;
import postbeam.state.Readiness;

/**
 * The simulator's wire: reads batches of events, hands each to its instance, writes one reply a
 * batch.
 */
public final class Door {
    private static final int BUFFER = 1 << 16;
    private static final int SCOPE_FULL = 1;
    private static final int SCOPE_CACHED = 2;
    private static final int SCOPE_FAILED = 3;

    private final Lines in;
    private final OutputStream sink;
    private final StringBuilder out = new StringBuilder();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<Entry>> lists = new HashMap<>();
    private final Set<Instance> touched = new LinkedHashSet<>();

    public Door(InputStream source, OutputStream sink) {
        this.in =
                new Lines(
                        new BufferedReader(
                                new InputStreamReader(source, StandardCharsets.UTF_8), BUFFER));
        this.sink = sink;
    }

    /** Serves batches until the input ends. */
    public void run() throws IOException {
        while (in.next()) {
            try {
                if (!"SYNC".equals(in.field())) {
                    throw in.malformed("a batch starts with SYNC");
                }
                batch(in.number());
            } catch (NoSuchElementException | IllegalArgumentException e) {
                throw in.malformed(e.getMessage());
            }
            out.append("DONE\n");
            sink.write(out.toString().getBytes(StandardCharsets.UTF_8));
            sink.flush();
            out.setLength(0);
        }
    }

    private void batch(long clock) throws IOException {
        touched.clear();
        while (true) {
            if (!in.next()) {
                throw in.malformed("the input ends within a batch");
            }
            String name = in.text();
            if (name.equals("EOF_BATCH")) {
                break;
            }
            event(name, clock);
        }
        for (Instance instance : touched) {
            decided(instance, () -> instance.decide().turnEnded(instance.since(clock)));
            instance.askDiscovery(instance.since(clock));
        }
    }

    private void event(String name, long clock) throws IOException {
        if (name.equals("SNAPSHOT_ROWS")) {
            readList();
            return;
        }
        int id = (int) in.number();
        if (name.equals("CREATE")) {
            long seed = in.number();
            Info info = new Info();
            while (in.more()) {
                info.put(in.text());
            }
            Instance created = new Instance(id, seed, info, clock, out);
            touched.remove(instances.put(id, created));
            touched.add(created);
            return;
        }
        Instance instance = instances.get(id);
        if (instance == null) {
            throw in.malformed("no instance " + id);
        }
        if (name.equals("DETACH")) {
            instances.remove(id);
            touched.remove(instance);
            return;
        }
        touched.add(instance);
        Duration now = instance.since(clock);
        decided(instance, () -> handOver(name, instance, now));
    }

    private void handOver(String name, Instance instance, Duration now) {
        switch (name) {
            case "INGRESS" -> instance.taken(now, in);
            case "REPORT_BACK" -> instance.reportedBack(now, in);
            case "RING" -> instance.rung(now, in);
            case "REGISTRY" -> registry(now, instance);
            case "ABANDONED" -> instance.abandoned(now, in);
            case "CHECKED" -> instance.probed(now, in);
            // No vertical is streamed, and the routers tell each other nothing.
            case "FIRST", "NEIGHBOUR_SAYS" -> {}
            default -> throw new IllegalArgumentException("unknown message " + name);
        }
    }

    private void registry(Duration now, Instance instance) {
        int slot = (int) in.number(0);
        int scope = (int) in.number();
        if (scope != SCOPE_CACHED) {
            instance.listAnswered(now, scope == SCOPE_FAILED);
        }
        if (scope == SCOPE_FAILED) {
            return;
        }
        List<Entry> entries = lists.get(slot);
        if (entries == null) {
            throw new IllegalArgumentException("no list " + slot);
        }
        instance.listed(now, entries, scope == SCOPE_FULL || scope == SCOPE_CACHED);
    }

    private void readList() throws IOException {
        int slot = (int) in.number();
        long count = in.number();
        List<Entry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!in.next() || !"ROW".equals(in.field())) {
                throw in.malformed("the list has too few rows");
            }
            entries.add(row());
        }
        lists.put(slot, entries);
    }

    private Entry row() {
        String zone = in.field();
        int cell = (int) in.number(0);
        String address = in.text();
        in.field();
        long started = in.number(0);
        in.field();
        Readiness readiness =
                switch ((int) in.number()) {
                    case 0 -> Readiness.GONE;
                    case 1 -> Readiness.READY;
                    case 2 -> Readiness.DRAINING;
                    default -> throw new IllegalArgumentException("unknown readiness");
                };
        return new Entry(address, zone, cell, started, readiness);
    }

    /**
     * A failure of the decisions is told to the simulator; a field that can't be read ends the run.
     */
    private void decided(Instance instance, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            for (StackTraceElement frame : e.getStackTrace()) {
                if (frame.getClassName().startsWith(Decide.class.getName())) {
                    instance.panic(e);
                    return;
                }
            }
            throw e;
        }
    }
}
