package postbeam.endpoints;

import java.util.List;
import java.util.Map;

/**
 * What discovery told at once: a whole list or changes of one, and where each data node is reached.
 */
public record EndpointUpdate(
        long version, boolean complete, List<Endpoint> endpoints, Map<String, String> addresses) {}
