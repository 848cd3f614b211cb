/**
 * The connections to data nodes. {@link postbeam.datanodes.DataNodeClient} sends attempts in frames
 * over pooled connections and reports each outcome to its listener exactly once. The choice of the
 * node and the decision to retry are made by the callers.
 *
 * <p>All code except the public methods of the client runs on one I/O thread and needs no locks.
 */
package postbeam.datanodes;
