package postbeam.layoutservice;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import postbeam.migration.RouterAcknowledgements;
import postbeam.slices.Layout;

/**
 * Holds the published layout and answers the requests for it, either immediately or once a newer
 * layout is published. Where routers hold leases of the layout, each response to a router renews
 * its lease. Not thread-safe: {@link LayoutController} guards it with its lock.
 */
final class LayoutPublisher {
    private static final long MAX_WAIT_MILLIS = 60_000;

    /**
     * A router's request waits at most the duration of the lease divided by this number, so that
     * the lease is renewed in time.
     */
    private static final int ANSWERS_PER_LEASE = 3;

    /**
     * The leases under which routers use the layout.
     *
     * @param acknowledgements records which router holds which version
     * @param duration how long a router may use a layout after requesting it
     * @param mayBeGranted whether this service is still the leader
     */
    record Leases(
            RouterAcknowledgements acknowledgements,
            Duration duration,
            BooleanSupplier mayBeGranted) {}

    private final Consumer<Layout> listener;
    private final LayoutWatchers watchers;

    /** Null where routers hold no leases. */
    private Leases leases;

    /** Null until the first layout is published. */
    private Layout published;

    private byte[] publishedJson;
    private boolean closed;

    /** Creates a publisher whose listener receives each layout before it is published. */
    LayoutPublisher(Consumer<Layout> listener, LayoutWatchers watchers) {
        this.listener = listener;
        this.watchers = watchers;
    }

    /** Grants leases from now on. */
    void useLeases(Leases newLeases) {
        leases = newLeases;
    }

    /** Publishes a layout and answers all waiting requests. */
    void publish(Layout layout) {
        listener.accept(layout);
        published = layout;
        publishedJson = LayoutCodec.write(layout);
        watchers.removeAll().forEach(this::sendLayout);
    }

    /**
     * Answers a request, unless it has to wait for a newer layout.
     *
     * @return whether the request was answered; if not, the caller passes it to {@link #awaitNewer}
     */
    boolean answer(LayoutRequest request) {
        if (closed) {
            sendClosed(request);
            return true;
        }
        if (published == null) {
            request.responder().sendUnavailable("there is no layout yet");
            return true;
        }
        if (isOfLeaseHolder(request)) {
            leases.acknowledgements()
                    .onRequest(request.router().get(), request.heldVersion(), ServiceClock.now());
        }
        if (request.knownVersion() < published.version || waitMillis(request) <= 0) {
            sendLayout(request);
            return true;
        }
        if (watchers.isFull()) {
            request.responder().sendOverloaded("too many requests are waiting for a newer layout");
            return true;
        }
        return false;
    }

    /** Answers the request when a newer layout is published or its wait expires. */
    void awaitNewer(LayoutRequest request) {
        if (closed) {
            sendClosed(request);
        } else if (published.version > request.knownVersion() || isLeaseRefused()) {
            sendLayout(request);
        } else {
            watchers.add(
                    request,
                    System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis(request)));
        }
    }

    /** Answers the requests whose wait has expired. */
    void answerExpired() {
        watchers.removeExpired(System.nanoTime()).forEach(this::sendLayout);
    }

    /**
     * Rejects all waiting requests immediately where routers hold leases, since no lease may be
     * granted any more. Without leases the layout stays published, and waiting requests receive it
     * when their wait expires.
     */
    void onLeadershipEnded() {
        if (leases != null) {
            watchers.removeAll().forEach(this::sendLayout);
        }
    }

    /** Rejects all waiting and all further requests. */
    void close() {
        closed = true;
        watchers.removeAll().forEach(LayoutPublisher::sendClosed);
    }

    private static void sendClosed(LayoutRequest request) {
        request.responder().sendUnavailable("the service is shutting down");
    }

    /**
     * Returns how long a request may wait. A router with a lease is answered well before the lease
     * expires, so that the lease is renewed even while the layout does not change.
     */
    private long waitMillis(LayoutRequest request) {
        long wait = Math.min(MAX_WAIT_MILLIS, request.waitMillis());
        return isOfLeaseHolder(request)
                ? Math.min(wait, leases.duration().toMillis() / ANSWERS_PER_LEASE)
                : wait;
    }

    private boolean isOfLeaseHolder(LayoutRequest request) {
        return leases != null && request.router().isPresent();
    }

    private boolean isLeaseRefused() {
        return leases != null && !leases.mayBeGranted().getAsBoolean();
    }

    private void sendLayout(LayoutRequest request) {
        if (isLeaseRefused()) {
            // Sending the layout would grant a lease that the next leader does not know about.
            request.responder().sendUnavailable("this service no longer grants leases");
            return;
        }
        if (isOfLeaseHolder(request)) {
            leases.acknowledgements()
                    .onResponse(request.router().get(), published.version, ServiceClock.now());
        }
        request.responder().sendLayout(publishedJson);
    }
}
