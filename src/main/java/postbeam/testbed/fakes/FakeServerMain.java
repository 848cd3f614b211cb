package postbeam.testbed.fakes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.testbed.verification.ObservedCalls;

/**
 * A stand-in as a process of its own: says where it listens, does what its standard input says, a
 * line each, and ends with it, so that none outlives whoever started it.
 */
public final class FakeServerMain {
    private FakeServerMain() {}

    /**
     * "discovery", then how many that each are told another list; or "node", then as {@link #node}
     * has it.
     */
    public static void main(String[] args) throws IOException {
        BufferedReader told =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        if (args[0].equals("discovery")) {
            discovery(Integer.parseInt(args[1]), told);
        } else {
            node(args, told);
        }
        System.exit(0);
    }

    /** Hears "INDEX HOSTS": from now on that one is told these hosts. */
    private static void discovery(int count, BufferedReader told) throws IOException {
        List<FakeDiscovery> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new FakeDiscovery(""));
        }
        System.out.println(
                "at " + all.stream().map(FakeDiscovery::address).collect(Collectors.joining(",")));
        String line;
        while ((line = told.readLine()) != null) {
            int space = line.indexOf(' ');
            all.get(Integer.parseInt(line.substring(0, space))).tell(line.substring(space + 1));
        }
    }

    /**
     * NAME ZONE FOLDER START_NANOS SEED SLICED WORK_MICROS COLD: the folder is for what it sees.
     * Hears "hang BOOLEAN", "slow TIMES" and "troubles BAD LATE".
     */
    private static void node(String[] args, BufferedReader told) throws IOException {
        ObservedCalls.Node seen =
                new ObservedCalls.Node(Path.of(args[3]), args[1], Long.parseLong(args[4]));
        Map<String, Map<postbeam.slices.KeyRange, Boolean>> runs = new ConcurrentHashMap<>();
        if (Boolean.parseBoolean(args[8])) {
            seen.nodeStarted(seen.now(), args[1]);
        }
        FakeDataNode node =
                new FakeDataNode(
                        args[1],
                        args[2],
                        new FakeDataNode.Seen(seen, seen::now, runs),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(Long.parseLong(args[5])),
                        !Boolean.parseBoolean(args[6]));
        node.setWork(Duration.ofNanos(Long.parseLong(args[7]) * 1000));
        System.out.println("at " + node.dialAddress());
        String line;
        while ((line = told.readLine()) != null) {
            String[] words = line.split(" ", 0);
            switch (words[0]) {
                case "hang" -> node.setHanging(Boolean.parseBoolean(words[1]));
                case "slow" -> node.setSlowdown(Integer.parseInt(words[1]));
                default ->
                        node.setFaultRates(
                                Double.parseDouble(words[1]), Double.parseDouble(words[2]));
            }
        }
    }
}
