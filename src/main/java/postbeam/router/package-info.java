/**
 * The serving router: {@link postbeam.router.Router} wires client connections, data node
 * connections, discovery and the routing policy, and starts and stops them. {@link
 * postbeam.router.PolicyExecutor} owns the policy and the one lock under which it and its tables
 * are used: queries, attempts in flight, timers and outbound batches. Pages are served by {@link
 * postbeam.router.PagingService}, of which nothing is loaded where pages are off.
 */
package postbeam.router;
