/**
 * The network side towards data nodes: {@link postbeam.datanodes.DataNodeClient} sends attempts in
 * frames over pooled connections and reports each outcome to the listener exactly once. Which node
 * an attempt goes to, and whether it is retried, is not decided here.
 *
 * <p>Everything but the client's public methods runs on one I/O thread, without locks.
 */
package postbeam.datanodes;
