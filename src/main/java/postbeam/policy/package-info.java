/**
 * The routing policy: which query is served next and by which nodes, when requests are retried,
 * hedged or cancelled, and when a query is answered, rejected or aborted.
 *
 * <p>{@link postbeam.policy.RoutingPolicy} is the facade; behind it there is one class per concern,
 * with its own state and constants. Nothing here does I/O, reads a clock, takes a lock or starts a
 * thread: the caller passes the time with each event, serializes the calls and implements {@link
 * postbeam.policy.PolicyActions}. Decisions depend only on these calls and on the random source, so
 * that a recorded session can be replayed exactly. {@code docs/design.md} gives the reason of each
 * rule.
 */
package postbeam.policy;
