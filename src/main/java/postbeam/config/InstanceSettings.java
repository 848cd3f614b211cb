package postbeam.config;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** What an instance is told at its start, as path=value pairs; what is absent is null. */
public final class InstanceSettings {
    /** Nanoseconds: the unit of spans here is the microsecond, of {@link Duration} this. */
    private static final int NANOS_PER_MICRO = 1000;

    private final Map<String, String> values = new LinkedHashMap<>();

    /** Stands before a path where a message names it. */
    private final String prefix;

    /** Empty; to be filled pair by pair. */
    public InstanceSettings() {
        this.prefix = "";
    }

    private InstanceSettings(InstanceSettings other) {
        this.prefix = other.prefix;
        values.putAll(other.values);
    }

    /** The same with one value told otherwise. */
    public InstanceSettings withValue(String path, String value) {
        InstanceSettings other = new InstanceSettings(this);
        other.values.put(path, value);
        return other;
    }

    /**
     * From an object of JSON, whose nested names become paths; messages name its paths with the
     * prefix.
     */
    public InstanceSettings(Map<String, Object> object, String prefix) {
        this.prefix = prefix;
        object.forEach(this::flatten);
    }

    public void putPair(String pair) {
        int eq = pair.indexOf('=');
        if (eq < 0) {
            throw new IllegalArgumentException("no = in " + pair);
        }
        values.put(pair.substring(0, eq), pair.substring(eq + 1));
    }

    private void flatten(String path, Object value) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, inner) -> flatten(path + "." + name, inner));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            values.put(path + ".count", String.valueOf(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i));
            }
        } else if (value instanceof List<?> list) {
            values.put(path, list.stream().map(String::valueOf).collect(Collectors.joining(",")));
        } else if (value != null) {
            values.put(path, String.valueOf(value));
        }
    }

    /** The paths that stand otherwise in the other, in order, as messages name them. */
    public List<String> changedPaths(InstanceSettings other) {
        Set<String> paths = new TreeSet<>(values.keySet());
        paths.addAll(other.values.keySet());
        return paths.stream()
                .filter(path -> !Objects.equals(values.get(path), other.values.get(path)))
                .map(path -> prefix + path)
                .toList();
    }

    public String text(String path) {
        String value = values.get(path);
        return value == null || value.isEmpty() || value.equals("-") ? null : value;
    }

    /** The value, which must be there. */
    public String required(String path) {
        String value = text(path);
        if (value == null) {
            throw invalid(path, "is missing");
        }
        return value;
    }

    public Double number(String path) {
        String value = text(path);
        return value == null ? null : parseNumber(path, value);
    }

    public Integer integer(String path) {
        Double value = number(path);
        if (value != null && Math.abs(value) > Integer.MAX_VALUE) {
            throw invalid(path, "is too large: " + text(path));
        }
        return value == null ? null : (int) Math.round(value);
    }

    /** A whole number that must be there, and at least so large. */
    public int integerAtLeast(String path, int least) {
        required(path);
        int value = integer(path);
        if (value < least) {
            throw invalid(path, "must be " + least + " or more, not " + text(path));
        }
        return value;
    }

    /** True or false, or as the simulator's wire has them, 1 or 0. */
    public Boolean flag(String path) {
        String value = text(path);
        if (value == null) {
            return null;
        }
        if (!Set.of("true", "1", "false", "0").contains(value)) {
            throw invalid(path, "must be true or false, not " + value);
        }
        return value.equals("true") || value.equals("1");
    }

    public Duration duration(String path) {
        Double value = number(path);
        if (value != null && Math.abs(value) >= (double) Long.MAX_VALUE / NANOS_PER_MICRO) {
            throw invalid(path, "is beyond any time: " + text(path));
        }
        return value == null ? null : Duration.ofNanos(Math.round(value * NANOS_PER_MICRO));
    }

    /** One entry of a list of plain values. */
    public Double listEntry(String path, int i) {
        String value = text(path);
        List<String> list = value == null ? List.of() : List.of(value.split(","));
        return i < list.size() ? parseNumber(path, list.get(i)) : null;
    }

    /** Whether something stands under the path, or it has a value itself. */
    public boolean isPresent(String path) {
        return text(path) != null
                || values.keySet().stream().anyMatch(one -> one.startsWith(path + "."));
    }

    /** How many entries a list of plain values has; 0 where it is absent or empty. */
    public int listSize(String path) {
        String value = text(path);
        return value == null ? 0 : value.split(",", -1).length;
    }

    public int objectCount(String path) {
        Integer value = integer(path + ".count");
        return value == null ? 0 : value;
    }

    /** What to throw where a value can't be used. */
    public IllegalArgumentException invalid(String path, String what) {
        return new IllegalArgumentException(prefix + path + " " + what);
    }

    private Double parseNumber(String path, String value) {
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalid(path, "is not a number: " + value);
        }
        // Neither of these compares as a bound expects, and a span of NaN would be 0.
        if (!Double.isFinite(number)) {
            throw invalid(path, "is not a finite number: " + value);
        }
        return number;
    }
}
