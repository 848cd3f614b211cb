/**
 * What routers of a fleet share, and what each does when it hears nothing: elections of leaders,
 * leases of the budgets of nodes that warm up, quota counters and health gossip. Decisions and
 * state alone, without I/O, clocks and threads; {@link postbeam.coordination.StripedCoordinator} is
 * where threads enter. docs/together.md weighs the alternatives and argues for each bound.
 */
package postbeam.coordination;
