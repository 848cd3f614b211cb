package postbeam.cli;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP, which ends the virtual machine by default. Java has no public API for signals, so
 * that this uses {@code sun.misc}.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs the action for each SIGHUP from now on, on a new thread each time.
     *
     * @return false if the action will never run: a process that is started with SIGHUP ignored,
     *     for example by {@code nohup}, keeps ignoring it, and the virtual machine can't change
     *     that
     */
    static boolean handle(Runnable action) {
        SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> action.run());
        return previous != SignalHandler.SIG_IGN;
    }
}
