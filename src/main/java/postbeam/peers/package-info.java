/**
 * The communication between the routers of a fleet, which the settings enable: requests over HTTP
 * to the client servers of the other routers, handlers for their requests, and the section {@code
 * together} of the settings. {@link postbeam.coordination} makes all decisions.
 */
package postbeam.peers;
