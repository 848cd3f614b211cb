/**
 * Types that the connections of clients, the router and the connections to data nodes share: the
 * request of a client, the actions that serve it, the attempts sent to data nodes and their
 * results. The packages of these three depend on this one; it depends on none of them and does no
 * I/O.
 */
package postbeam.dispatch;
