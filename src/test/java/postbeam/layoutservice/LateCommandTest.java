package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;
import postbeam.slices.KeyRange;

/** Tests that a command which a node carries out after it was given up is noticed. */
@Timeout(60)
class LateCommandTest {
    private static final KeyRange KEYS = new KeyRange(0, 100);
    private static final int WAIT_SECONDS = 10;

    private final BlockingQueue<String> done = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> late = new LinkedBlockingQueue<>();
    private final HandoffClient client =
            new HandoffClient(
                    (move, node, command, slice) -> done.add(command + " " + slice), late::add);
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        client.updateAddresses(Map.of("n1", "127.0.0.1:" + server.getLocalPort()));
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
    }

    private void send(HandoffCommand command) {
        client.send(new CoordinatorAction.SendCommand(1, "n1", command, 3, KEYS, 12, null));
    }

    /** A late FENCE left a holder fenced for good, as its response was never read. */
    @Test
    void lateResponseToGivenUpCommandIsReported() throws Exception {
        send(HandoffCommand.FENCE);
        try (FrameSocket first = FrameSocket.accept(server)) {
            assertEquals("sFENCE 1 3 0 100 12 -", first.readText());
            send(HandoffCommand.SERVE);
            try (FrameSocket second = FrameSocket.accept(server)) {
                assertEquals("sSERVE 1 3 0 100 12 -", second.readText());
                second.writeText("sSERVE 1 3 done");
                assertEquals("SERVE 3", done.poll(WAIT_SECONDS, TimeUnit.SECONDS));
                assertNull(late.poll(1, TimeUnit.SECONDS));
                first.writeText("sFENCE 1 3 done");
                assertEquals("n1", late.poll(WAIT_SECONDS, TimeUnit.SECONDS));
                assertNull(done.poll());
                send(HandoffCommand.SERVE);
                assertEquals("sSERVE 1 3 0 100 12 -", second.readText());
            }
        }
    }

    @Test
    void endOfOverdueConnectionIsNotReported() throws Exception {
        send(HandoffCommand.FENCE);
        try (FrameSocket first = FrameSocket.accept(server)) {
            first.readText();
            send(HandoffCommand.SERVE);
            try (FrameSocket second = FrameSocket.accept(server)) {
                second.readText();
                first.endOutput();
                second.writeText("sSERVE 1 3 done");
                assertNull(late.poll(2, TimeUnit.SECONDS));
            }
        }
    }
}
