package postbeam.layoutservice;

import java.io.Closeable;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.migration.MigrationAction;
import postbeam.migration.RangeDigest;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;

/**
 * Sends data nodes what to do with slices, over the frames that they speak. A thread and a
 * connection a node, so that a node that hangs delays no other. What is not answered, for whatever
 * cause, is sent again by the coordinator: each command may come twice. Its monitor guards the
 * addresses and connections; listeners are called without it.
 */
final class HandoffClient implements Closeable {
    private static final int MAX_COMMAND_RESPONSE_BYTES = 1024;

    /** Digests of up to 256 key ranges. */
    private static final int MAX_DIGEST_RESPONSE_BYTES = 128 << 10;

    /** Gets the commands that nodes have carried out. */
    interface CompletionListener {
        void onDone(long move, String node, HandoffCommand command, int slice);
    }

    /** Gets the digests that nodes have answered with. */
    interface DigestListener {
        void onDigests(long requestId, String node, List<RangeDigest> digests);
    }

    private final CompletionListener completionListener;
    private final Map<String, HandoffConnection> connections = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private DigestListener digestListener;
    private Runnable onSuperseded;

    /** 0 where terms are not kept. */
    private long term;

    HandoffClient(CompletionListener completionListener) {
        this.completionListener = completionListener;
    }

    /**
     * From now on commands carry this term.
     *
     * @param onSuperseded run when a node has taken a command of a later term
     */
    synchronized void startTerm(
            long newTerm, DigestListener digestListener, Runnable onSuperseded) {
        this.term = newTerm;
        this.digestListener = digestListener;
        this.onSuperseded = onSuperseded;
    }

    /** Takes the addresses of all nodes; connections to other addresses are closed. */
    synchronized void updateAddresses(Map<String, String> newAddresses) {
        addresses.clear();
        addresses.putAll(newAddresses);
        connections
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean moved =
                                    !entry.getValue()
                                            .address()
                                            .equals(addresses.get(entry.getKey()));
                            if (moved) {
                                entry.getValue().close();
                            }
                            return moved;
                        });
    }

    /** Sends a command; one for a node without an address is dropped. */
    synchronized void send(CoordinatorAction.SendCommand command) {
        String source = command.source() == null ? null : addresses.get(command.source());
        offer(
                command.node(),
                new HandoffConnection.Request(
                        HandoffMessages.command(command, source, term),
                        MAX_COMMAND_RESPONSE_BYTES,
                        response -> {
                            HandoffMessages.CommandStatus status =
                                    HandoffMessages.commandStatus(command, response);
                            return () -> onCommandStatus(command, status);
                        }));
    }

    private void onCommandStatus(
            CoordinatorAction.SendCommand command, HandoffMessages.CommandStatus status) {
        switch (status) {
            case DONE ->
                    completionListener.onDone(
                            command.move(), command.node(), command.command(), command.slice());
            case STALE_TERM -> onSuperseded.run();
            default -> {
                // The work goes on; the coordinator asks again.
            }
        }
    }

    /** Asks a node for digests; a request for a node without an address is dropped. */
    synchronized void requestDigests(MigrationAction.RequestDigests request) {
        offer(
                request.node(),
                new HandoffConnection.Request(
                        HandoffMessages.digestRequest(request),
                        MAX_DIGEST_RESPONSE_BYTES,
                        response -> {
                            String body = HandoffMessages.digestResponseBody(request, response);
                            return () ->
                                    digestListener.onDigests(
                                            request.requestId(),
                                            request.node(),
                                            HandoffMessages.digests(body));
                        }));
    }

    private void offer(String node, HandoffConnection.Request request) {
        String address = addresses.get(node);
        if (address != null) {
            connections
                    .computeIfAbsent(node, name -> new HandoffConnection(name, address))
                    .offer(request);
        }
    }

    @Override
    public synchronized void close() {
        connections.values().forEach(HandoffConnection::close);
        connections.clear();
    }
}
