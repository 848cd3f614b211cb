package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import postbeam.migration.MigrationAction;
import postbeam.migration.RangeDigest;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;
import postbeam.slices.KeyRange;

/**
 * Compares the frames that {@link HandoffClient} sends with recorded frames, and checks that it
 * understands responses from older versions of data nodes.
 */
class HandoffClientMessagesTest {
    private static final KeyRange LOW_KEYS = new KeyRange(100, 200);
    private static final KeyRange HIGH_KEYS = new KeyRange(200, KeyRange.KEY_SPACE_SIZE);
    private static final Object SUPERSEDED = "stale";

    private record CommandDone(long move, String node, HandoffCommand command, int slice) {}

    private record DigestsReceived(long requestId, String node, List<RangeDigest> digests) {}

    private final BlockingQueue<Object> events = new LinkedBlockingQueue<>();

    /**
     * Accepts one connection, reads one frame before each response that it sends, and then closes
     * the connection.
     *
     * @return the bytes of all frames
     */
    private static byte[] receiveFrames(ServerSocket server, List<String> responses)
            throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (FrameSocket connection = FrameSocket.accept(server)) {
            for (String response : responses) {
                received.write(connection.readFrame());
                connection.writeText(response);
            }
        }
        return received.toByteArray();
    }

    @Test
    void sentFramesEqualTheRecordedFramesAndResponsesAreReported() throws Exception {
        List<String> responses = Samples.lines("node-order-answers.txt");
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HandoffClient client =
                        new HandoffClient(
                                (move, node, command, slice) ->
                                        events.add(new CommandDone(move, node, command, slice)),
                                node -> fail("no response is late"))) {
            client.updateAddresses(
                    Map.of("n1", "127.0.0.1:" + server.getLocalPort(), "n2", "127.0.0.1:7002"));
            client.send(
                    new CoordinatorAction.SendCommand(
                            7, "n1", HandoffCommand.COPY, 3, LOW_KEYS, 12, "n2"));
            client.send(
                    new CoordinatorAction.SendCommand(
                            7, "n1", HandoffCommand.HOLD, 3, LOW_KEYS, 12, "n9"));
            client.send(
                    new CoordinatorAction.SendCommand(
                            7, "n1", HandoffCommand.FENCE, 3, LOW_KEYS, 12, null));
            client.startTerm(
                    4,
                    (requestId, node, digests) ->
                            events.add(new DigestsReceived(requestId, node, digests)),
                    () -> events.add(SUPERSEDED));
            client.send(
                    new CoordinatorAction.SendCommand(
                            0, "n1", HandoffCommand.SERVE, 3, HIGH_KEYS, 13, null, 5));
            client.send(
                    new CoordinatorAction.SendCommand(
                            8, "n1", HandoffCommand.DROP, 3, LOW_KEYS, 13, null, 6));
            client.requestDigests(
                    new MigrationAction.RequestDigests(99, "n1", 3, List.of(LOW_KEYS, HIGH_KEYS)));
            Samples.assertSameBytes("node-orders.bin", receiveFrames(server, responses));
            assertEquals(
                    new CommandDone(7, "n1", HandoffCommand.COPY, 3),
                    events.poll(10, TimeUnit.SECONDS));
            // The response to HOLD is "busy", which is not reported to a listener.
            assertEquals(
                    new CommandDone(7, "n1", HandoffCommand.FENCE, 3),
                    events.poll(10, TimeUnit.SECONDS));
            assertEquals(
                    new CommandDone(0, "n1", HandoffCommand.SERVE, 3),
                    events.poll(10, TimeUnit.SECONDS));
            assertEquals(SUPERSEDED, events.poll(10, TimeUnit.SECONDS));
            assertEquals(
                    new DigestsReceived(
                            99,
                            "n1",
                            List.of(
                                    new RangeDigest(LOW_KEYS, 0, 71, 2, 20, "ab".repeat(32)),
                                    new RangeDigest(HIGH_KEYS, 1, 0, 0, 0, "cd".repeat(32)))),
                    events.poll(10, TimeUnit.SECONDS));
        }
    }
}
