package postbeam.cli;

/** A sub-command whose options are parsed. */
interface Command {
    /** Runs it to its end and returns the exit status of the process. */
    int run() throws InterruptedException;
}
