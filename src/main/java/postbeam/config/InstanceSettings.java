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
 * Settings as path=value pairs, in the form of the simulator's protocol: the names of nested
 * members are joined by dots, the objects of a list are numbered from 0 and have a {@code count},
 * and the plain values of a list are joined by commas. Every typed accessor checks the value and
 * throws {@link InvalidSettingException} if it is invalid. A value counts as absent if its path is
 * not set, or if it is empty or {@code -}.
 */
public final class InstanceSettings {
    /** Durations in settings are in microseconds. */
    private static final int NANOS_PER_MICRO = 1000;

    private static final Set<String> TRUE = Set.of("true", "1");
    private static final Set<String> FALSE = Set.of("false", "0");

    private final Map<String, String> values = new LinkedHashMap<>();

    /** Prefix of all paths in error messages. */
    private final String prefix;

    /** Creates empty settings, to be filled by {@link #putPair}. */
    public InstanceSettings() {
        this.prefix = "";
    }

    /** Creates settings from a JSON object; error messages put the prefix before a path. */
    public InstanceSettings(Map<String, Object> object, String prefix) {
        this.prefix = prefix;
        object.forEach(this::flatten);
    }

    private InstanceSettings(InstanceSettings other) {
        this.prefix = other.prefix;
        values.putAll(other.values);
    }

    /** Returns a copy in which the path has the given value. */
    public InstanceSettings withValue(String path, String value) {
        InstanceSettings copy = new InstanceSettings(this);
        copy.values.put(path, value);
        return copy;
    }

    /**
     * Adds a pair of the form path=value; a later value of the same path replaces an earlier one.
     *
     * @throws IllegalArgumentException if the pair has no equals sign
     */
    public void putPair(String pair) {
        int equalsSign = pair.indexOf('=');
        if (equalsSign < 0) {
            throw new IllegalArgumentException("expected PATH=VALUE, not " + pair);
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

    /** Returns the sorted paths, with the prefix, whose values differ from the other settings'. */
    public List<String> changedPaths(InstanceSettings other) {
        Set<String> paths = new TreeSet<>(values.keySet());
        paths.addAll(other.values.keySet());
        return paths.stream()
                .filter(path -> !Objects.equals(values.get(path), other.values.get(path)))
                .map(path -> prefix + path)
                .toList();
    }

    // ---- text values

    /** Returns the value as text; null if it is absent, empty or {@code -}. */
    public String text(String path) {
        String value = values.get(path);
        return value == null || value.isEmpty() || value.equals("-") ? null : value;
    }

    /** Returns the value as text, which must be present. */
    public String required(String path) {
        String value = text(path);
        if (value == null) {
            throw invalid(path, "is missing");
        }
        return value;
    }

    /** Returns whether the path or any path below it has a value. */
    public boolean isPresent(String path) {
        return text(path) != null
                || values.keySet().stream().anyMatch(known -> known.startsWith(path + "."));
    }

    // ---- numbers, flags and durations

    /** Returns the value as a finite number; null if it is absent. */
    public Double number(String path) {
        String value = text(path);
        return value == null ? null : parseNumber(path, value);
    }

    /** Returns the value rounded to an integer; null if it is absent. */
    public Integer integer(String path) {
        Double value = number(path);
        if (value != null && Math.abs(value) > Integer.MAX_VALUE) {
            throw invalid(
                    path,
                    "must be from -"
                            + Integer.MAX_VALUE
                            + " to "
                            + Integer.MAX_VALUE
                            + ", not "
                            + text(path));
        }
        return value == null ? null : (int) Math.round(value);
    }

    /** Returns the value as an integer, which must be present and not below the minimum. */
    public int integerAtLeast(String path, int min) {
        required(path);
        int value = integer(path);
        if (value < min) {
            throw invalid(path, "must be " + min + " or more, not " + text(path));
        }
        return value;
    }

    /** Returns a flag, written as true, false, 1 or 0; null if it is absent. */
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

    /** Returns a duration, written in microseconds; null if it is absent. */
    public Duration duration(String path) {
        Double micros = number(path);
        if (micros != null && Math.abs(micros) >= (double) Long.MAX_VALUE / NANOS_PER_MICRO) {
            throw invalid(path, "is too large for a duration in microseconds: " + text(path));
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
        // Rejects NaN and infinity: range checks don't work with them, and a duration of NaN would
        // become 0.
        if (!Double.isFinite(number)) {
            throw invalid(path, "is not a finite number: " + value);
        }
        return number;
    }

    // ---- lists

    /** Returns a number from a list of numbers; null if the list is absent or too short. */
    public Double listEntry(String path, int index) {
        String value = text(path);
        List<String> entries = value == null ? List.of() : List.of(value.split(","));
        return index < entries.size() ? parseNumber(path, entries.get(index)) : null;
    }

    /** Returns the length of a list of plain values; 0 if it is absent or empty. */
    public int listSize(String path) {
        String value = text(path);
        return value == null ? 0 : value.split(",", -1).length;
    }

    /** Returns the length of a list of objects; 0 if it is absent. */
    public int objectCount(String path) {
        Integer count = integer(path + ".count");
        return count == null ? 0 : count;
    }

    /**
     * Creates the exception for a value that can't be used.
     *
     * @param reason clause that follows the path in the message, without a full stop
     */
    public InvalidSettingException invalid(String path, String reason) {
        return new InvalidSettingException(prefix + path + " " + reason);
    }
}
