package postbeam.layoutservice;

import java.io.IOException;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The names under which the constants of an enum are stored and sent. They are written out one by
 * one, so that a constant can be renamed without making older logs or other programs' messages
 * unreadable.
 */
final class WireNames<E extends Enum<E>> {
    private final String unknown;
    private final Map<E, String> names;
    private final Map<String, E> constants = new HashMap<>();

    private WireNames(String unknown, Map<E, String> names) {
        this.unknown = unknown;
        this.names = names;
        names.forEach((constant, name) -> constants.put(name, constant));
    }

    /**
     * Names for all constants of an enum.
     *
     * @param unknown how an error about a name that is none of these begins
     * @throws IllegalArgumentException a constant has no name, or two have the same
     */
    @SafeVarargs
    static <E extends Enum<E>> WireNames<E> of(
            Class<E> type, String unknown, Map.Entry<E, String>... names) {
        Map<E, String> all = new EnumMap<>(type);
        for (Map.Entry<E, String> name : names) {
            all.put(name.getKey(), name.getValue());
        }
        WireNames<E> made = new WireNames<>(unknown, all);
        if (made.constants.size() != type.getEnumConstants().length) {
            throw new IllegalArgumentException(
                    "constants of " + type + " without a name of their own");
        }
        return made;
    }

    String of(E constant) {
        return names.get(constant);
    }

    /**
     * The constant of this name.
     *
     * @throws IOException no constant has this name
     */
    E constant(String name) throws IOException {
        E constant = constants.get(name);
        if (constant == null) {
            throw new IOException(unknown + ": " + name);
        }
        return constant;
    }
}
