/**
 * The connection to discovery: long polling of the endpoint list, an HTTP client with deadlines for
 * each part of a response, and the codec of the list. The layout watch uses the same HTTP client
 * and watcher.
 *
 * <p>{@link postbeam.endpoints.PollSchedule} decides when to poll. Each watcher runs on one thread
 * of its own.
 */
package postbeam.discovery;
