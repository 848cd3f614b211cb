package postbeam.cli;

import sun.misc.Signal;

/**
 * SIGHUP, which ends a virtual machine unless it is handled. Java has no public API for signals.
 */
final class HangupSignal {
    private HangupSignal() {}

    /** Runs this on a thread of its own for each signal from now on. */
    static void handle(Runnable action) {
        Signal.handle(new Signal("HUP"), signal -> action.run());
    }
}
