/**
 * What the connections of clients, the router and the connections to data nodes share: a client's
 * request, the actions that serve it, the attempts sent to data nodes and their results. The three
 * packages import this one; it imports none of them and does no I/O.
 */
package postbeam.dispatch;
