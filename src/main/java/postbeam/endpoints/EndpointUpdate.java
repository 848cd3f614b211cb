package postbeam.endpoints;

import java.util.List;
import java.util.Map;

/**
 * An endpoint list or changes of one.
 *
 * @param version version of the list, which increases with each change
 * @param complete whether endpoints that are missing here are removed
 * @param endpoints all endpoints, or those that have changed
 * @param addresses host and port (HOST:PORT) by endpoint name
 */
public record EndpointUpdate(
        long version, boolean complete, List<Endpoint> endpoints, Map<String, String> addresses) {}
