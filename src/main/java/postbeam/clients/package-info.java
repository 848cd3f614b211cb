/**
 * The HTTP side towards clients: {@link postbeam.clients.QueryServer} accepts connections, reads
 * queries, has each served on a thread of its own and writes the response. It knows no data node
 * and decides nothing about a query; that is its {@link
 * postbeam.clients.QueryServer.QueryHandler}'s.
 *
 * <p>Connections and everything in them belong to the worker's one I/O thread.
 */
package postbeam.clients;
