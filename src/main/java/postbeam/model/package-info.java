/**
 * The data model of routing: queries, their shard requests and attempts, data nodes and the
 * placement of shards on them. Times are durations since the start of the router. Nothing in this
 * package does I/O, reads a clock or starts a thread. Its objects belong to one router and are
 * guarded by the lock of that router's policy.
 */
package postbeam.model;
