/**
 * What the routing policy decides about: queries, their shard requests and attempts, data nodes and
 * the placement of shards on them. Times are spans since the start of the router. Nothing here does
 * I/O, reads a clock or starts a thread; all of it is confined to the thread, or guarded by the
 * lock, of the one who calls the policy.
 */
package postbeam.model;
