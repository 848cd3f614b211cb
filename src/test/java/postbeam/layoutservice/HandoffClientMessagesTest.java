package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
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
 * Compares the frames that {@link HandoffClient} sends with a stored sample, and checks that it
 * understands responses from older versions of data nodes.
 */
class HandoffClientMessagesTest {
    private static final KeyRange KEYS = new KeyRange(100, 200);
    private static final KeyRange REST = new KeyRange(200, KeyRange.KEY_SPACE_SIZE);
    private static final Object STALE = "stale";

    private record Done(long move, String node, HandoffCommand order, int slice) {}

    private record Answered(long number, String node, List<RangeDigest> digests) {}

    private final BlockingQueue<Object> events = new LinkedBlockingQueue<>();

    /**
     * Accepts one connection, reads one frame before each response that it sends, and then closes
     * the connection.
     *
     * @return the bytes of all frames
     */
    private static byte[] serve(ServerSocket server, List<String> answers) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Socket socket = server.accept()) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            for (String answer : answers) {
                byte[] head = in.readNBytes(Integer.BYTES);
                received.write(head);
                received.write(
                        in.readNBytes(
                                ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN).getInt()));
                byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream()
                        .write(
                                ByteBuffer.allocate(Integer.BYTES + bytes.length)
                                        .order(ByteOrder.LITTLE_ENDIAN)
                                        .putInt(bytes.length)
                                        .put(bytes)
                                        .array());
            }
        }
        return received.toByteArray();
    }

    @Test
    void ordersKeepTheirBytesAndAnswersTheirMeaning() throws Exception {
        List<String> answers = Samples.lines("node-order-answers.txt");
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HandoffClient client =
                        new HandoffClient(
                                (move, node, command, slice) ->
                                        events.add(new Done(move, node, command, slice)))) {
            client.updateAddresses(
                    Map.of("n1", "127.0.0.1:" + server.getLocalPort(), "n2", "127.0.0.1:7002"));
            client.send(
                    new CoordinatorAction.SendCommand(
                            7, "n1", HandoffCommand.COPY, 3, KEYS, 12, "n2"));
            client.send(
                    new CoordinatorAction.SendCommand(
                            7, "n1", HandoffCommand.HOLD, 3, KEYS, 12, "n9"));
            client.send(
                    new CoordinatorAction.SendCommand(
                            7, "n1", HandoffCommand.FENCE, 3, KEYS, 12, null));
            client.startTerm(
                    4,
                    (number, node, digests) -> events.add(new Answered(number, node, digests)),
                    () -> events.add(STALE));
            client.send(
                    new CoordinatorAction.SendCommand(
                            0, "n1", HandoffCommand.SERVE, 3, REST, 13, null));
            client.send(
                    new CoordinatorAction.SendCommand(
                            8, "n1", HandoffCommand.DROP, 3, KEYS, 13, null));
            client.requestDigests(
                    new MigrationAction.RequestDigests(99, "n1", 3, List.of(KEYS, REST)));
            Samples.assertSameBytes("node-orders.bin", serve(server, answers));
            assertEquals(
                    new Done(7, "n1", HandoffCommand.COPY, 3), events.poll(10, TimeUnit.SECONDS));
            // The response to HOLD is "busy", which is not reported to a listener.
            assertEquals(
                    new Done(7, "n1", HandoffCommand.FENCE, 3), events.poll(10, TimeUnit.SECONDS));
            assertEquals(
                    new Done(0, "n1", HandoffCommand.SERVE, 3), events.poll(10, TimeUnit.SECONDS));
            assertEquals(STALE, events.poll(10, TimeUnit.SECONDS));
            assertEquals(
                    new Answered(
                            99,
                            "n1",
                            List.of(
                                    new RangeDigest(KEYS, 0, 71, 2, 20, "ab".repeat(32)),
                                    new RangeDigest(REST, 1, 0, 0, 0, "cd".repeat(32)))),
                    events.poll(10, TimeUnit.SECONDS));
        }
    }
}
