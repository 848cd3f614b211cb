/**
 * Deterministic simulations of routing, resharding, migration, coordination and paging: one thread,
 * a simulated clock and a seed that decides every random choice. The Defective classes plant known
 * faults that the trials must detect.
 */
package postbeam.testbed.simulation;
