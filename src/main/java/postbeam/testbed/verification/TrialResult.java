package postbeam.testbed.verification;

import java.util.List;

/**
 * What one seed of a trial showed.
 *
 * @param figures measured figures, a line each
 * @param violations broken rules, a line each; empty where all rules held
 */
public record TrialResult(List<String> figures, List<String> violations) {}
