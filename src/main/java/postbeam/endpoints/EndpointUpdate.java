package postbeam.endpoints;

import java.util.List;
import java.util.Map;

/**
 * An endpoint list, or changes of one.
 *
 * @param version of the list, growing
 * @param complete whether endpoints that are missing here are gone
 * @param endpoints all of them, or those that have changed
 * @param addresses HOST:PORT by the endpoint's name
 */
public record EndpointUpdate(
        long version, boolean complete, List<Endpoint> endpoints, Map<String, String> addresses) {}
