package postbeam.testbed.cluster;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xnio.IoUtils;

/**
 * Stands between two processes on loopback and does to each way what a network can. Each connection
 * has a thread and one chunk a way, so what it holds is bounded: a way that is not let through is
 * not read on. One lock over the state, not held over I/O.
 */
public final class FaultProxy implements Closeable {
    /** From those who connect to the target, and back. */
    public enum Direction {
        TO_TARGET,
        FROM_TARGET
    }

    /** What is done to a way. */
    public enum Fault {
        NONE,
        /**
         * Nothing passes and no connection comes up; what felt it is reset when it ends, as by a
         * machine back.
         */
        CUT,
        /** Connections come up; what is sent is taken and lost, and they are reset when it ends. */
        SILENT,
        /** Each chunk waits so long. */
        DELAY,
        /** A chunk waits until one of another connection has passed it, at most so long. */
        REORDER
    }

    private static final int CHUNK = 16 << 10;

    /** More are turned away: no process here has so many to one other. */
    private static final int CONNECTIONS_MOST = 512;

    private static final int CONNECT_MILLIS = 1000;

    private static final class Connection {
        final Socket near;

        /** Null until the target is reached. */
        Socket far;

        /** A fault that only a reset ends was met. */
        boolean broken;

        Connection(Socket near) {
            this.near = near;
        }
    }

    private static final class Side {
        Fault fault = Fault.NONE;
        long nanos;

        /** Whose chunk waits to be passed; null where none does. */
        Connection held;
    }

    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final Map<Direction, Side> sides =
            new EnumMap<>(
                    Map.of(Direction.TO_TARGET, new Side(), Direction.FROM_TARGET, new Side()));
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final String name;
    private InetSocketAddress target;
    private boolean closed;

    FaultProxy(String name, InetSocketAddress target) throws IOException {
        this.name = name;
        this.target = target;
        thread(this::accept);
    }

    private void thread(Runnable run) {
        Thread thread = new Thread(run, "relay " + name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Where clients of the target connect, as host:port. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    // ---- faults

    /** For the connections to come; null where nobody listens: they are reset. */
    synchronized void target(InetSocketAddress next) {
        target = next;
    }

    /**
     * Sets the fault of one direction, from now on.
     *
     * @param by the delay, for faults that delay; zero for others
     */
    public synchronized void set(Direction way, Fault fault, Duration by) {
        Side side = sides.get(way);
        boolean ends = side.fault == Fault.CUT || side.fault == Fault.SILENT;
        if (fault == Fault.CUT || fault == Fault.SILENT) {
            // Who is idle now may write into the hole later: all that are open have felt it.
            connections.forEach(one -> one.broken = true);
        } else if (ends) {
            List.copyOf(connections).stream().filter(one -> one.broken).forEach(this::reset);
        }
        side.fault = fault;
        side.nanos = by.toNanos();
        side.held = null;
        notifyAll();
    }

    /** Sets the fault of both directions, as {@link #set} does. */
    public void setBoth(Fault fault, Duration by) {
        set(Direction.TO_TARGET, fault, by);
        set(Direction.FROM_TARGET, fault, by);
    }

    void heal() {
        setBoth(Fault.NONE, Duration.ZERO);
    }

    /** Ends all that are open, with a reset to both sides. */
    public synchronized void reset() {
        List.copyOf(connections).forEach(this::reset);
    }

    synchronized int openConnections() {
        return connections.size();
    }

    private synchronized void reset(Connection one) {
        connections.remove(one);
        for (Socket socket : new Socket[] {one.near, one.far}) {
            try {
                if (socket != null) {
                    socket.setSoLinger(true, 0);
                }
            } catch (IOException e) {
                // Closed already.
            }
            IoUtils.safeClose(socket);
        }
        notifyAll();
    }

    // ---- traffic

    private void accept() {
        try {
            while (true) {
                Connection one = new Connection(server.accept());
                one.near.setTcpNoDelay(true);
                synchronized (this) {
                    connections.add(one);
                    one.broken = is(Fault.CUT) || is(Fault.SILENT);
                    if (closed || connections.size() > CONNECTIONS_MOST) {
                        reset(one);
                        continue;
                    }
                }
                thread(() -> serve(one));
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private boolean is(Fault fault) {
        return sides.values().stream().anyMatch(side -> side.fault == fault);
    }

    private void serve(Connection one) {
        try {
            InetSocketAddress to;
            synchronized (this) {
                while (connections.contains(one) && is(Fault.CUT)) {
                    wait();
                }
                to = one.broken ? null : target;
            }
            if (one.broken) {
                while (one.near.getInputStream().read(new byte[CHUNK]) >= 0) {
                    // Lost.
                }
                return;
            }
            if (to == null) {
                return;
            }
            Socket far = new Socket();
            synchronized (this) {
                one.far = far;
            }
            far.setTcpNoDelay(true);
            far.connect(to, CONNECT_MILLIS);
            thread(() -> pump(Direction.FROM_TARGET, one, far, one.near));
            pump(Direction.TO_TARGET, one, one.near, far);
        } catch (IOException e) {
            // It could not be reached, or this side went.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (one.far == null || !one.far.isConnected() || one.broken) {
                reset(one);
            }
        }
    }

    private void pump(Direction way, Connection one, Socket from, Socket to) {
        byte[] chunk = new byte[CHUNK];
        try {
            while (true) {
                int length = from.getInputStream().read(chunk);
                boolean passes = pass(way, one);
                if (length < 0 && passes) {
                    break;
                } else if (length < 0) {
                    return;
                }
                if (passes) {
                    to.getOutputStream().write(chunk, 0, length);
                    passed(way, one);
                }
            }
            // One way's end is told on; both ways' ends close it.
            to.shutdownOutput();
            if (from.isOutputShutdown()) {
                synchronized (this) {
                    connections.remove(one);
                }
                IoUtils.safeClose(from);
                IoUtils.safeClose(to);
            }
        } catch (IOException e) {
            reset(one);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits as the way's fault has it; false where the chunk is lost. */
    private synchronized boolean pass(Direction way, Connection one)
            throws IOException, InterruptedException {
        Side side = sides.get(way);
        long since = System.nanoTime();
        boolean holds = false;
        while (true) {
            if (!connections.contains(one)) {
                throw new IOException("reset");
            }
            long left = since + side.nanos - System.nanoTime();
            switch (side.fault) {
                case CUT -> wait();
                case SILENT -> {
                    return false;
                }
                case DELAY, REORDER -> {
                    boolean alone =
                            side.fault == Fault.DELAY
                                    || (side.held == null && !holds)
                                    || side.held == one;
                    if (left <= 0 || !alone) {
                        side.held = side.held == one ? null : side.held;
                        return true;
                    }
                    if (side.fault == Fault.REORDER) {
                        side.held = one;
                        holds = true;
                    }
                    wait(1 + left / 1_000_000);
                }
                default -> {
                    return true;
                }
            }
        }
    }

    private synchronized void passed(Direction way, Connection one) {
        Side side = sides.get(way);
        if (side.held != null && side.held != one) {
            side.held = null;
            notifyAll();
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            reset();
        }
        IoUtils.safeClose(server);
    }
}
