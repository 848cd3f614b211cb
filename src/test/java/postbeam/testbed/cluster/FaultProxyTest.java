package postbeam.testbed.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.IoUtils;

/**
 * Each fault on plain sockets. What must not come can't come while the fault stands, however long
 * one waits.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FaultProxyTest {
    private static final int LONG_MS = 20_000;

    /** How long is waited for what a fault holds back for good. */
    private static final int NEVER_MS = 150;

    private static final Duration AGE = Duration.ofMinutes(5);

    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket target;
    private FaultProxy proxy;

    /** Both ends of a connection. */
    private record Pair(Socket near, Socket far) {}

    @BeforeEach
    void stage() throws IOException {
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        target.setSoTimeout(LONG_MS);
        proxy = new FaultProxy("a-b", (InetSocketAddress) target.getLocalSocketAddress());
    }

    @AfterEach
    void giveBack() throws IOException {
        proxy.close();
        target.close();
        sockets.forEach(IoUtils::safeClose);
    }

    private Socket dial() throws IOException {
        Socket near =
                new Socket(
                        InetAddress.getLoopbackAddress(),
                        Integer.parseInt(proxy.address().split(":", 0)[1]));
        near.setSoTimeout(LONG_MS);
        sockets.add(near);
        return near;
    }

    private Socket accept() throws IOException {
        Socket far = target.accept();
        far.setSoTimeout(LONG_MS);
        sockets.add(far);
        return far;
    }

    private Pair pair() throws IOException {
        return new Pair(dial(), accept());
    }

    private static void passes(Socket from, Socket to, int what) throws IOException {
        from.getOutputStream().write(what);
        assertEquals(what, to.getInputStream().read());
    }

    private static void neverComes(Socket to) throws IOException {
        to.setSoTimeout(NEVER_MS);
        assertThrows(SocketTimeoutException.class, () -> to.getInputStream().read());
        to.setSoTimeout(LONG_MS);
    }

    private static void isReset(Socket socket) {
        assertThrows(
                SocketException.class,
                () -> {
                    while (socket.getInputStream().read() >= 0) {
                        // What came before.
                    }
                    throw new IOException("ended without a reset");
                });
    }

    @Test
    void withoutAFaultBothWaysPassAndAnEndIsToldOn() throws IOException {
        Pair one = pair();
        Pair other = pair();
        passes(one.near, one.far, 1);
        passes(other.far, other.near, 2);
        assertEquals(2, proxy.openConnections());
        one.near.shutdownOutput();
        assertEquals(-1, one.far.getInputStream().read());
        passes(one.far, one.near, 3);
        one.far.close();
        assertEquals(-1, one.near.getInputStream().read());
    }

    @Test
    void cutNothingPassesNothingComesUpAndTheEndResets() throws IOException {
        Pair one = pair();
        proxy.setBoth(FaultProxy.Fault.CUT, Duration.ZERO);
        one.near.getOutputStream().write(1);
        one.far.getOutputStream().write(2);
        neverComes(one.far);
        neverComes(one.near);
        Socket late = dial();
        target.setSoTimeout(NEVER_MS);
        assertThrows(SocketTimeoutException.class, target::accept);
        target.setSoTimeout(LONG_MS);
        proxy.heal();
        isReset(one.near);
        isReset(one.far);
        isReset(late);
        Pair next = pair();
        passes(next.near, next.far, 3);
    }

    @Test
    void cutOneWayTheOtherStillPasses() throws IOException {
        Pair one = pair();
        proxy.set(FaultProxy.Direction.FROM_TARGET, FaultProxy.Fault.CUT, Duration.ZERO);
        passes(one.near, one.far, 1);
        one.far.getOutputStream().write(2);
        neverComes(one.near);
        proxy.heal();
        Pair other = pair();
        proxy.set(FaultProxy.Direction.TO_TARGET, FaultProxy.Fault.CUT, Duration.ZERO);
        passes(other.far, other.near, 3);
        other.near.getOutputStream().write(4);
        neverComes(other.far);
    }

    @Test
    void silentAConnectionComesUpAndWhatIsSentIsTakenAndLost() throws IOException {
        Pair one = pair();
        proxy.setBoth(FaultProxy.Fault.SILENT, Duration.ZERO);
        // More than all buffers on the way hold: it is really taken.
        one.near.getOutputStream().write(new byte[32 << 20]);
        Socket late = dial();
        late.getOutputStream().write(new byte[32 << 20]);
        neverComes(one.far);
        proxy.heal();
        isReset(one.near);
        isReset(late);
    }

    @Test
    void aCutWayTakesNoMoreThanItsBuffers() throws Exception {
        Pair one = pair();
        proxy.setBoth(FaultProxy.Fault.CUT, Duration.ZERO);
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                one.near.getOutputStream().write(new byte[64 << 20]);
                            } catch (IOException e) {
                                // Reset while it waits.
                            }
                        });
        writer.start();
        writer.join(NEVER_MS);
        assertTrue(writer.isAlive());
        proxy.reset();
        writer.join(LONG_MS);
        assertTrue(!writer.isAlive());
    }

    @Test
    void delayedItComesNoSoonerAndWhole() throws IOException {
        Pair one = pair();
        proxy.set(FaultProxy.Direction.TO_TARGET, FaultProxy.Fault.DELAY, Duration.ofMillis(200));
        long sent = System.nanoTime();
        passes(one.near, one.far, 1);
        assertTrue(System.nanoTime() - sent >= Duration.ofMillis(200).toNanos());
        proxy.set(FaultProxy.Direction.TO_TARGET, FaultProxy.Fault.DELAY, AGE);
        one.near.getOutputStream().write(2);
        neverComes(one.far);
        proxy.heal();
        assertEquals(2, one.far.getInputStream().read());
    }

    @Test
    void reorderedWhatIsSentLaterOnAnotherConnectionComesFirst() throws IOException {
        Pair one = pair();
        Pair other = pair();
        proxy.set(FaultProxy.Direction.TO_TARGET, FaultProxy.Fault.REORDER, AGE);
        one.near.getOutputStream().write(1);
        neverComes(one.far);
        passes(other.near, other.far, 2);
        assertEquals(1, one.far.getInputStream().read());
        proxy.set(FaultProxy.Direction.TO_TARGET, FaultProxy.Fault.REORDER, Duration.ofMillis(50));
        passes(one.near, one.far, 3);
    }

    @Test
    void resetBothSidesAreToldAndTheNextConnectionIsGood() throws IOException {
        Pair one = pair();
        passes(one.near, one.far, 1);
        proxy.reset();
        isReset(one.near);
        isReset(one.far);
        Pair next = pair();
        passes(next.near, next.far, 2);
    }

    @Test
    void aTargetThatIsNotThereResetsAndOneThatMovedIsFound() throws IOException {
        proxy.target(null);
        isReset(dial());
        try (ServerSocket moved = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            moved.setSoTimeout(LONG_MS);
            proxy.target((InetSocketAddress) moved.getLocalSocketAddress());
            Socket near = dial();
            passes(near, moved.accept(), 1);
            proxy.close();
            isReset(near);
            assertEquals(0, proxy.openConnections());
        }
    }
}
