/**
 * Stand-ins for all that postbeam speaks to, faults by seed, and a referee that sees all traffic
 * and checks the six rules. Nothing of it is loaded by a router that serves.
 */
package postbeam.testbed;
