/**
 * How the routers of a fleet talk to each other, where the settings switch it on: requests over
 * HTTP to the others' client servers, handlers for theirs, and the section {@code together} of the
 * settings. All decisions are made by {@link postbeam.coordination}.
 */
package postbeam.peers;
