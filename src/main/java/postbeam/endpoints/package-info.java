/**
 * What a router knows about its data nodes from discovery: endpoint lists and their changes, the
 * registry that reports them to the routing policy, and the schedule of polls. Uses no I/O, clocks
 * or threads, so that the simulated router shares these types with the one that uses sockets.
 */
package postbeam.endpoints;
