package postbeam.cli;

/** A sub-command, run after its options are parsed. */
interface Command {
    /** Runs the sub-command to its end and returns the exit status of the process. */
    int run() throws InterruptedException;
}
