package postbeam.cli;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * SIGHUP, which ends a virtual machine unless it is handled. Java has no public API for signals.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs this on a thread of its own for each signal from now on.
     *
     * @return false where signals never come: a program that was started with SIGHUP ignored, as by
     *     {@code nohup}, stays so, and the virtual machine does not change that
     */
    static boolean handle(Runnable action) {
        SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> action.run());
        return previous != SignalHandler.SIG_IGN;
    }
}
