package postbeam.router;

/**
 * Tracks whether the router knows enough to serve: at least one data node and, if slices move, a
 * layout. Updated by the threads that watch discovery and the layout service, read by those that
 * serve clients.
 */
final class RouterReadiness {
    private final boolean needsLayout;
    private boolean endpointsKnown;
    private boolean layoutKnown;
    private volatile boolean ready;

    RouterReadiness(boolean needsLayout) {
        this.needsLayout = needsLayout;
    }

    synchronized void onEndpointsKnown() {
        endpointsKnown = true;
        update();
    }

    synchronized void onLayoutKnown() {
        layoutKnown = true;
        update();
    }

    private void update() {
        ready = endpointsKnown && (!needsLayout || layoutKnown);
    }

    boolean isReady() {
        return ready;
    }
}
