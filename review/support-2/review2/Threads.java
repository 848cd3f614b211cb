package review2;

/** Threads that do not keep a case alive. */
final class Threads {
    private Threads() {}

    static Thread daemon(Runnable run) {
        Thread thread = new Thread(null, run, "stand-in", 128 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
