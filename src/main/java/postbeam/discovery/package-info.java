/**
 * The connection to discovery: long polling of the endpoint list, an HTTP client with deadlines for
 * each part of a response, and the codec of the list. The layout watch uses the same HTTP client
 * and watcher.
 *
 * <p>{@link postbeam.endpoints.PendingPolls} decides when to poll. Each watcher runs on one thread
 * of its own, and so does each of its connections, of which it has one unless responses are
 * overdue.
 */
package postbeam.discovery;
