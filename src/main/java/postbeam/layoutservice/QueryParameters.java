package postbeam.layoutservice;

import java.util.Deque;
import java.util.Map;

/** Reads query parameters of HTTP requests. */
final class QueryParameters {
    private QueryParameters() {}

    /** Returns the first value of a parameter; null if it is absent. */
    static String text(Map<String, Deque<String>> parameters, String name) {
        Deque<String> values = parameters.get(name);
        return values == null ? null : values.getFirst();
    }

    /** Returns a parameter as a number; the default if it is absent or not a number. */
    static long longValue(Map<String, Deque<String>> parameters, String name, long defaultValue) {
        String value = text(parameters, name);
        try {
            return value == null ? defaultValue : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
