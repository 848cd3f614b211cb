/**
 * The simulator's wire protocol: a text protocol over standard input and output with which a
 * simulator drives the routing policy. The input consists of batches of events, each event for one
 * of many simulated routers; each batch is answered with one reply of actions. Wire names are
 * mapped to the terms of the code in this package only. A session runs on a single thread.
 */
package postbeam.simulator;
