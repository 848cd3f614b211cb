/**
 * The HTTP server for clients. {@link postbeam.clients.QueryServer} accepts connections, reads
 * queries, serves each on a thread of its own and writes the response. Its {@link
 * postbeam.clients.QueryServer.QueryHandler} makes all decisions about a query and sends the
 * attempts to data nodes.
 *
 * <p>The worker's single I/O thread owns the connections and their state.
 */
package postbeam.clients;
