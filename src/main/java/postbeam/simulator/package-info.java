/**
 * The simulator's wire protocol: a text protocol over standard input and output, by which a
 * simulator drives the routing policy. Input comes in batches of events, each for one of many
 * simulated routers; one reply of actions goes out for each batch. Wire names are mapped to the
 * terms of the code here, and nowhere else. All is done by the one thread that runs the session.
 */
package postbeam.simulator;
