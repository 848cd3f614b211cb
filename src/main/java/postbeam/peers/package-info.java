/**
 * How routers talk to each other, where it is switched on: forms on the clients' door, asks over
 * HTTP, the section of our own settings. All decisions are {@link postbeam.coordination}'s.
 */
package postbeam.peers;
