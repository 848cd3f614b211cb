/**
 * Runs of the decisions on a simulated clock, in one thread, every choice from one seed; and parts
 * with defects that the trials must catch.
 */
package postbeam.testbed.simulation;
