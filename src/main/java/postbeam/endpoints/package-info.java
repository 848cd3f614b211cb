/**
 * What a router knows of its data nodes from discovery: endpoint lists and their changes, the
 * registry that turns them into facts for the routing policy, and when discovery is polled. No I/O,
 * clocks or threads: the simulated router uses the same types as the one on sockets.
 */
package postbeam.endpoints;
