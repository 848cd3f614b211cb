/**
 * The testbed: fakes of all that postbeam speaks to, clusters of processes, simulations on a
 * simulated clock, and a checker that sees all traffic and verifies the six rules of the protocol.
 * A router that serves loads nothing of it.
 */
package postbeam.testbed;
