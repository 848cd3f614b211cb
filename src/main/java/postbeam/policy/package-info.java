/**
 * The routing policy. It decides which query is served next and by which data nodes, when requests
 * are retried, hedged or cancelled, and when a query is answered, rejected or aborted.
 *
 * <p>{@link postbeam.policy.RoutingPolicy} is the entry point; it delegates to one class per
 * concern, each with its own state and constants. Nothing in this package does I/O, reads a clock,
 * takes a lock or starts a thread: the caller passes the time with each event, serializes the calls
 * and implements {@link postbeam.policy.PolicyActions}. Decisions depend only on these calls and on
 * the random source, so that a recorded session can be replayed exactly. {@code docs/design.md}
 * gives the reason for each rule.
 */
package postbeam.policy;
