package postbeam.layoutservice;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import postbeam.migration.RouterAcknowledgements;
import postbeam.slices.Layout;

/**
 * The published layout and the requests for it: each is answered at once, or waits for a newer
 * layout. Where routers hold leases of the layout, each answer to one renews its lease. Not
 * thread-safe: {@link LayoutController} guards it with its lock.
 */
final class LayoutPublisher {
    private static final long MAX_WAIT_MILLIS = 60_000;

    /**
     * A router's request is answered at least so many times per lease, so that the lease is renewed
     * in time.
     */
    private static final int ANSWERS_PER_LEASE = 3;

    /**
     * Leases of the layout.
     *
     * @param acknowledgements which router holds which version
     * @param duration how long a router may use a layout after it requested it
     * @param mayBeGranted whether this service still leads
     */
    record Leases(
            RouterAcknowledgements acknowledgements,
            Duration duration,
            BooleanSupplier mayBeGranted) {}

    private final Consumer<Layout> listener;
    private final LayoutWatchers watchers;

    /** Null where routers hold no leases. */
    private Leases leases;

    /** Null before the first layout. */
    private Layout published;

    private byte[] publishedJson;
    private boolean closed;

    /** The listener gets each layout before it is published. */
    LayoutPublisher(Consumer<Layout> listener, LayoutWatchers watchers) {
        this.listener = listener;
        this.watchers = watchers;
    }

    /** Grants leases from now on. */
    void useLeases(Leases granted) {
        leases = granted;
    }

    /** Publishes a layout, and answers all who wait for it. */
    void publish(Layout layout) {
        listener.accept(layout);
        published = layout;
        publishedJson = LayoutCodec.write(layout);
        watchers.removeAll().forEach(this::sendLayout);
    }

    /**
     * Answers a request, unless it is to wait for a newer layout.
     *
     * @return whether the request was answered; otherwise it is to be handed to {@link #awaitNewer}
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
            request.responder().sendOverloaded("too many wait for a newer layout");
            return true;
        }
        return false;
    }

    /**
     * Keeps the request until a newer layout is published or its wait is over, and answers it then.
     */
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

    /** Answers the requests whose wait is over. */
    void answerExpired() {
        watchers.removeExpired(System.nanoTime()).forEach(this::sendLayout);
    }

    /**
     * Leases may be granted no more: routers that wait are told at once. Without leases the layout
     * stays published, and waiting requests are answered with it in their time.
     */
    void onLeadershipEnded() {
        if (leases != null) {
            watchers.removeAll().forEach(this::sendLayout);
        }
    }

    /** Rejects all requests, those that wait included, from now on. */
    void close() {
        closed = true;
        watchers.removeAll().forEach(LayoutPublisher::sendClosed);
    }

    private static void sendClosed(LayoutRequest request) {
        request.responder().sendUnavailable("the service stops");
    }

    /**
     * A router under a lease is answered before the lease runs out, so that it is renewed while
     * nothing changes.
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
            // A layout given out now would be a lease that the successor knows nothing of.
            request.responder().sendUnavailable("this service grants no leases any more");
            return;
        }
        if (isOfLeaseHolder(request)) {
            leases.acknowledgements()
                    .onResponse(request.router().get(), published.version, ServiceClock.now());
        }
        request.responder().sendLayout(publishedJson);
    }
}
