/**
 * What routers share, and what each does when it hears nothing. Decisions and state alone: no I/O,
 * no clock and no thread; times are spans of the router's own monotonic clock. {@link
 * postbeam.coordination.StripedCoordinator} is where threads enter. docs/together.md has the ways
 * weighed and the argument for each bound.
 */
package postbeam.coordination;
