/**
 * The query router: {@link postbeam.router.Router} connects the client server, the data node
 * client, discovery and the routing policy, and starts and stops them. {@link
 * postbeam.router.PolicyExecutor} owns the policy and the one lock that guards it and its tables:
 * queries, attempts in flight, timers and outbound batches. Pages are served by {@link
 * postbeam.router.PagingService}, none of whose code is loaded if pages are disabled.
 */
package postbeam.router;
