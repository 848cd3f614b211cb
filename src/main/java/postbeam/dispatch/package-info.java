/**
 * What clients' connections, the router and data nodes' connections share: the request, the actions
 * that serve it, the attempts sent to data nodes and their results. Below all three packages; none
 * of it does I/O.
 */
package postbeam.dispatch;
