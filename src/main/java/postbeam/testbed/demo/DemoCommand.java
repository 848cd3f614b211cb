package postbeam.testbed.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import postbeam.testbed.cluster.LoopbackCluster;

/**
 * A router before a small stand-in fleet in one process, for those who want to see a query
 * answered.
 */
@Parameters(
        commandDescription =
                "Run a router before a small stand-in fleet and print a query that it answers")
public final class DemoCommand {
    @Parameter(names = "--seconds", description = "How long it runs")
    private int seconds = 600;

    @Parameter(
            names = "--sliced",
            description = "With a layout service, and slices that can be split and moved")
    private boolean sliced;

    /** The exit status. */
    public int run(PrintStream out) throws InterruptedException {
        try (LoopbackCluster cluster =
                new LoopbackCluster(new LoopbackCluster.Size(3, 1, 4, 2, sliced, null), 1)) {
            String router = cluster.routerAddresses.get(0);
            out.println("A router serves at " + router + " before 3 stand-in data nodes. Ask it:");
            out.println();
            out.println(
                    "    curl -i 'http://"
                            + router
                            + "/lookup?obj=7f' -H 'Req-Id: q1' -H 'Req-Owner: acme' -H"
                            + " 'Req-Deadline-Ms: 3000' -d"
                            + " '{\"ranges\":[{\"range\":0,\"portion\":0.5},"
                            + "{\"range\":1,\"portion\":0.5}],\"predicate\":\"c41e77d0\"}'");
            out.println();
            if (sliced) {
                out.println(
                        "The layout is told at http://"
                                + cluster.layoutServiceAddress()
                                + "/v1/layout; to split slice 0:");
                out.println();
                out.println(
                        "    java -jar target/postbeam.jar layouts start --service "
                                + cluster.layoutServiceAddress()
                                + " --change '{\"split\": 0, \"at\": [1000]}'");
                out.println();
            }
            out.println("It ends after " + seconds + " s, or with Ctrl-C.");
            Thread.sleep(Duration.ofSeconds(seconds).toMillis());
            return 0;
        } catch (IOException e) {
            out.println("try: " + e.getMessage());
            return 1;
        }
    }
}
