/**
 * The routing policy: which query is served next, by which node, when a request is retried, hedged
 * or cancelled, and when a query is answered, rejected or aborted. {@link
 * postbeam.policy.RoutingPolicy} is the only entrance; behind it stands one class for each concern,
 * with its own state and constants.
 *
 * <p>Nothing here does I/O, reads a clock, takes a lock or starts a thread: the caller tells the
 * time with each event, makes one call at a time, and carries out {@link
 * postbeam.policy.PolicyActions}. Decisions depend on nothing else than these calls and the random
 * source, so a recorded session can be replayed to the byte. {@code docs/design.md} says what each
 * rule guards against.
 */
package postbeam.policy;
