package postbeam.benchlink;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The path=value pairs that an instance starts with; what is absent is null. */
final class Info {
    private final Map<String, String> values = new LinkedHashMap<>();

    void put(String pair) {
        int eq = pair.indexOf('=');
        if (eq < 0) {
            throw new IllegalArgumentException("no = in " + pair);
        }
        values.put(pair.substring(0, eq), pair.substring(eq + 1));
    }

    String text(String path) {
        String value = values.get(path);
        return value == null || value.isEmpty() || value.equals("-") ? null : value;
    }

    Double number(String path) {
        String value = text(path);
        return value == null ? null : Double.valueOf(value);
    }

    Integer whole(String path) {
        Double value = number(path);
        return value == null ? null : (int) Math.round(value);
    }

    Boolean flag(String path) {
        String value = text(path);
        return value == null ? null : value.equals("true") || value.equals("1");
    }

    Duration span(String path) {
        Double value = number(path);
        return value == null ? null : Duration.ofNanos(Math.round(value * 1000));
    }

    /** One entry of a list of plain values. */
    Double listed(String path, int i) {
        String value = text(path);
        List<String> list = value == null ? List.of() : List.of(value.split(","));
        return i < list.size() ? Double.valueOf(list.get(i)) : null;
    }

    int count(String path) {
        Integer value = whole(path + ".count");
        return value == null ? 0 : value;
    }
}
