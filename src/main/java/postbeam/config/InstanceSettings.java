package postbeam.config;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Settings as path=value pairs, in the form of the simulator's protocol: the members of nested
 * objects are joined by dots, lists of objects are numbered and have a {@code count}, lists of
 * plain values are joined by commas. Every typed access checks the value; what is absent, empty or
 * {@code -} is null.
 */
public final class InstanceSettings {
    /** Durations are in microseconds. */
    private static final int NANOS_PER_MICRO = 1000;

    private static final Set<String> TRUE = Set.of("true", "1");
    private static final Set<String> FALSE = Set.of("false", "0");

    private final Map<String, String> values = new LinkedHashMap<>();

    /** Stands before a path where a message names it. */
    private final String prefix;

    /** Empty settings, to be filled by {@link #putPair}. */
    public InstanceSettings() {
        this.prefix = "";
    }

    /** The settings of a JSON object; messages name a path with the prefix before it. */
    public InstanceSettings(Map<String, Object> object, String prefix) {
        this.prefix = prefix;
        object.forEach(this::flatten);
    }

    private InstanceSettings(InstanceSettings other) {
        this.prefix = other.prefix;
        values.putAll(other.values);
    }

    /** A copy in which one path has another value. */
    public InstanceSettings withValue(String path, String value) {
        InstanceSettings copy = new InstanceSettings(this);
        copy.values.put(path, value);
        return copy;
    }

    /**
     * Adds a pair, path=value.
     *
     * @throws IllegalArgumentException if it has no equals sign
     */
    public void putPair(String pair) {
        int equalsSign = pair.indexOf('=');
        if (equalsSign < 0) {
            throw new IllegalArgumentException("no = in " + pair);
        }
        values.put(pair.substring(0, equalsSign), pair.substring(equalsSign + 1));
    }

    private void flatten(String path, Object value) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, member) -> flatten(path + "." + name, member));
        } else if (value instanceof List<?> list) {
            flattenList(path, list);
        } else if (value != null) {
            values.put(path, String.valueOf(value));
        }
    }

    private void flattenList(String path, List<?> list) {
        if (list.stream().anyMatch(Map.class::isInstance)) {
            values.put(path + ".count", String.valueOf(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i));
            }
        } else {
            values.put(path, list.stream().map(String::valueOf).collect(Collectors.joining(",")));
        }
    }

    /** The paths whose values differ from the other's, in order, with the prefix. */
    public List<String> changedPaths(InstanceSettings other) {
        Set<String> paths = new TreeSet<>(values.keySet());
        paths.addAll(other.values.keySet());
        return paths.stream()
                .filter(path -> !Objects.equals(values.get(path), other.values.get(path)))
                .map(path -> prefix + path)
                .toList();
    }

    // ---- text

    /** The value; null if it is absent, empty or {@code -}. */
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

    /** Whether the path has a value, or anything below it is set. */
    public boolean isPresent(String path) {
        return text(path) != null
                || values.keySet().stream().anyMatch(known -> known.startsWith(path + "."));
    }

    // ---- numbers, flags and durations

    /** A finite number; null if it is absent. */
    public Double number(String path) {
        String value = text(path);
        return value == null ? null : parseNumber(path, value);
    }

    /** A number rounded to an integer; null if it is absent. */
    public Integer integer(String path) {
        Double value = number(path);
        if (value != null && Math.abs(value) > Integer.MAX_VALUE) {
            throw invalid(path, "is too large: " + text(path));
        }
        return value == null ? null : (int) Math.round(value);
    }

    /** An integer that must be there, and at least so large. */
    public int integerAtLeast(String path, int min) {
        required(path);
        int value = integer(path);
        if (value < min) {
            throw invalid(path, "must be " + min + " or more, not " + text(path));
        }
        return value;
    }

    /** True or false, written so or as 1 or 0; null if it is absent. */
    public Boolean flag(String path) {
        String value = text(path);
        if (value == null) {
            return null;
        }
        if (!TRUE.contains(value) && !FALSE.contains(value)) {
            throw invalid(path, "must be true or false, not " + value);
        }
        return TRUE.contains(value);
    }

    /** A duration, which is written in microseconds; null if it is absent. */
    public Duration duration(String path) {
        Double micros = number(path);
        if (micros != null && Math.abs(micros) >= (double) Long.MAX_VALUE / NANOS_PER_MICRO) {
            throw invalid(path, "is beyond any time: " + text(path));
        }
        return micros == null ? null : Duration.ofNanos(Math.round(micros * NANOS_PER_MICRO));
    }

    private Double parseNumber(String path, String value) {
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalid(path, "is not a number: " + value);
        }
        // Neither NaN nor infinity compares as a bound expects, and a duration of NaN would be 0.
        if (!Double.isFinite(number)) {
            throw invalid(path, "is not a finite number: " + value);
        }
        return number;
    }

    // ---- lists

    /** One number of a list of plain values; null if the list is shorter or absent. */
    public Double listEntry(String path, int index) {
        String value = text(path);
        List<String> entries = value == null ? List.of() : List.of(value.split(","));
        return index < entries.size() ? parseNumber(path, entries.get(index)) : null;
    }

    /** Entries in a list of plain values; 0 if it is absent or empty. */
    public int listSize(String path) {
        String value = text(path);
        return value == null ? 0 : value.split(",", -1).length;
    }

    /** Objects in a list of them; 0 if it is absent. */
    public int objectCount(String path) {
        Integer count = integer(path + ".count");
        return count == null ? 0 : count;
    }

    /** The error to throw if the path's value can't be used, for the reason given in a clause. */
    public InvalidSettingException invalid(String path, String reason) {
        return new InvalidSettingException(prefix + path + " " + reason);
    }
}
