package postbeam.testbed.trials;

import java.util.List;
import postbeam.testbed.verification.TrialResult;

/** A proof that anyone can run again with other seeds. */
public interface Trial {
    /** Its name on the command line. */
    String name();

    /** What it shows, in a line. */
    String about();

    /** Names of the defects that can be planted, each of which it must catch. */
    List<String> defects();

    /** Whether it runs on the jumping clock: then seeds run on all cores. */
    default boolean jumps() {
        return false;
    }

    /** Runs one seed with a defect or, where that is null, without. */
    TrialResult run(long seed, String defect);
}
