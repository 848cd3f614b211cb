package postbeam.layoutservice;

import java.util.Deque;
import java.util.Map;

/**
 * An operator's request over HTTP.
 *
 * @param route method and path, such as {@code POST /v1/plan}
 * @param parameters query parameters
 * @param body the request body; empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent") // Requests are never compared.
record OperatorRequest(String route, Map<String, Deque<String>> parameters, byte[] body) {
    /** Returns the first value of a query parameter; null if it is absent. */
    String parameter(String name) {
        return QueryParameters.text(parameters, name);
    }

    /** Returns a query parameter as a number; the default if it is absent or not a number. */
    long longParameter(String name, long defaultValue) {
        return QueryParameters.longValue(parameters, name, defaultValue);
    }
}
