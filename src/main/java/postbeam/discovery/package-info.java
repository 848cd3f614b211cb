/**
 * The network side towards discovery: long polls for the endpoint list, their HTTP client with a
 * deadline for every part of a response, and the list's codec. The HTTP client and the watcher
 * serve the layout watch too.
 *
 * <p>When to poll is decided in {@link postbeam.endpoints.PollSchedule}; each watcher runs on one
 * thread of its own.
 */
package postbeam.discovery;
