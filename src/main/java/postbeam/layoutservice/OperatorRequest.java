package postbeam.layoutservice;

import java.util.Deque;
import java.util.Map;

/**
 * An operator's request over HTTP.
 *
 * @param path method and path, as {@code POST /v1/plan}
 * @param parameters query parameters
 * @param body the body's bytes; empty where there is none
 */
@SuppressWarnings("ArrayRecordComponent") // Requests are never compared.
record OperatorRequest(String path, Map<String, Deque<String>> parameters, byte[] body) {
    /** The first value of a query parameter; null where it is absent. */
    String parameter(String name) {
        return QueryParameters.text(parameters, name);
    }

    /** A query parameter as a number; the default where it is absent or no number. */
    long longParameter(String name, long defaultValue) {
        return QueryParameters.longValue(parameters, name, defaultValue);
    }
}
