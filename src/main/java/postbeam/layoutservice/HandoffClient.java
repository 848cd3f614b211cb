package postbeam.layoutservice;

import java.io.Closeable;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import postbeam.migration.MigrationAction;
import postbeam.migration.RangeDigest;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;

/**
 * Sends handoff commands and digest requests to data nodes in frames. Each node has a thread and a
 * connection of its own, so that a node that hangs does not delay the others. The coordinator
 * resends each request that was not answered, for whatever reason, so a node may receive a command
 * more than once. The monitor of this object guards the addresses and connections; listeners are
 * called without holding it.
 */
final class HandoffClient implements Closeable {
    private static final int MAX_COMMAND_RESPONSE_BYTES = 1024;

    /** Limit for a response with the digests of up to 256 key ranges. */
    private static final int MAX_DIGEST_RESPONSE_BYTES = 128 << 10;

    /** Is notified of each command that a node has carried out. */
    interface CompletionListener {
        void onDone(long move, String node, HandoffCommand command, int slice);
    }

    /** Receives the range digests from the responses of nodes. */
    interface DigestListener {
        void onDigests(long requestId, String node, List<RangeDigest> digests);
    }

    private final CompletionListener completionListener;
    private final Consumer<String> onLateCommand;
    private final Map<String, HandoffConnection> connections = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private DigestListener digestListener;
    private Runnable onSuperseded;

    /** The term that commands carry; 0 where terms are not in use. */
    private long term;

    /**
     * Creates a client without a term.
     *
     * @param onLateCommand receives the name of a node that has carried out a command after it was
     *     given up, maybe after later commands
     */
    HandoffClient(CompletionListener completionListener, Consumer<String> onLateCommand) {
        this.completionListener = completionListener;
        this.onLateCommand = onLateCommand;
    }

    /**
     * Makes all further commands carry this term.
     *
     * @param onSuperseded run when a node rejects a command because it has accepted one of a later
     *     term
     */
    synchronized void startTerm(
            long newTerm, DigestListener digestListener, Runnable onSuperseded) {
        this.term = newTerm;
        this.digestListener = digestListener;
        this.onSuperseded = onSuperseded;
    }

    /**
     * Replaces the addresses of all nodes; closes each connection whose node has left or has
     * another address.
     */
    synchronized void updateAddresses(Map<String, String> newAddresses) {
        addresses.clear();
        addresses.putAll(newAddresses);
        connections
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean addressChanged =
                                    !entry.getValue()
                                            .address()
                                            .equals(addresses.get(entry.getKey()));
                            if (addressChanged) {
                                entry.getValue().close();
                            }
                            return addressChanged;
                        });
    }

    /** Queues a command; drops it if the node has no known address. */
    synchronized void send(CoordinatorAction.SendCommand command) {
        String source = command.source() == null ? null : addresses.get(command.source());
        offer(
                command.node(),
                new HandoffConnection.Request(
                        HandoffMessages.command(command, source, term),
                        MAX_COMMAND_RESPONSE_BYTES,
                        true,
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
                // The node has not completed the command yet; the coordinator resends the command
                // later.
            }
        }
    }

    /** Queues a request for digests; drops it if the node has no known address. */
    synchronized void requestDigests(MigrationAction.RequestDigests request) {
        offer(
                request.node(),
                new HandoffConnection.Request(
                        HandoffMessages.digestRequest(request),
                        MAX_DIGEST_RESPONSE_BYTES,
                        false,
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
                    .computeIfAbsent(
                            node,
                            name ->
                                    new HandoffConnection(
                                            name, address, () -> onLateCommand.accept(name)))
                    .offer(request);
        }
    }

    @Override
    public synchronized void close() {
        connections.values().forEach(HandoffConnection::close);
        connections.clear();
    }
}
