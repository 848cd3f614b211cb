/**
 * The coordination of the routers of a fleet, and what a router does when it receives no messages:
 * leader elections, leases of the budgets of nodes that warm up, quota counters and health gossip.
 * The package has the decisions and the state, without I/O, clocks and threads; {@link
 * postbeam.coordination.StripedCoordinator} has the locks for callers on several threads.
 * docs/together.md compares the alternatives and explains each bound.
 */
package postbeam.coordination;
