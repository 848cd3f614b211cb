package review2;

import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case: ends with 41 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
public final class Case {
    /** The case couldn't run; nothing is said about the rule. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String message) {
            super(message);
        }
    }

    /** What a case does; returns whether the rule was kept. */
    interface Body {
        boolean run(Trace trace, Path folder, boolean trouble) throws Exception;
    }

    /** A case ends itself before the 120 s that a script may take. */
    private static final int MOST_SECONDS = 110;

    /** A status that the virtual machine has for nothing else; run.sh makes it 1. */
    private static final int BROKEN = 41;

    private Case() {}

    public static void main(String[] args) throws Exception {
        Body body =
                (Body)
                        Class.forName("review2." + args[0])
                                .getDeclaredConstructor()
                                .newInstance();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-case");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> Router.delete(folder.toFile())));
        int status;
        try (Trace trace = new Trace(Path.of(System.getProperty("case"), "record.txt"))) {
            Thread watchdog = new Thread(() -> endLate(trace));
            watchdog.setDaemon(true);
            watchdog.start();
            trace.line(args[0] + (trouble ? " with" : " without") + " the disruption");
            try {
                boolean kept = body.run(trace, folder, trouble);
                trace.say(kept ? "the rule held" : "THE RULE WAS BROKEN");
                status = kept ? 0 : BROKEN;
            } catch (Exception | Error e) {
                trace.say("the case couldn't run: " + e);
                status = 2;
            }
        }
        System.exit(status);
    }

    private static void endLate(Trace trace) {
        try {
            Thread.sleep(MOST_SECONDS * 1000L);
            trace.say("the case couldn't run: it took over " + MOST_SECONDS + " s");
            System.exit(2);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
