package postbeam.testbed.fakes;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback addresses for listeners of tests, each for one process alone. On a shared address
 * another test run that still connects to a port it has given up would reach the stand-in that got
 * it next.
 */
public final class LoopbackAddresses {
    private static final int LOOPBACK_NETWORK = 127;
    private static final int HOSTS = 253;
    private static final AtomicInteger NEXT_HOST = new AtomicInteger();

    private LoopbackAddresses() {}

    /** An address of this process: its network is made of the process id, 127.0 left out. */
    public static InetAddress next() {
        int process = (int) ProcessHandle.current().pid();
        byte[] address = {
            LOOPBACK_NETWORK,
            (byte) (1 + (process >> Byte.SIZE) % (HOSTS + 1)),
            (byte) process,
            (byte) (1 + Math.floorMod(NEXT_HOST.getAndIncrement(), HOSTS))
        };
        try {
            return InetAddress.getByAddress(address);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an address of four bytes is not accepted", e);
        }
    }
}
