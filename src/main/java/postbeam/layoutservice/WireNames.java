package postbeam.layoutservice;

import java.io.IOException;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The names under which the constants of an enum are stored and sent. They are listed explicitly,
 * so that a constant can be renamed while older journals and messages of other programs stay
 * readable.
 */
final class WireNames<E extends Enum<E>> {
    private final String unknownNameError;
    private final Map<E, String> names;
    private final Map<String, E> constants = new HashMap<>();

    private WireNames(String unknownNameError, Map<E, String> names) {
        this.unknownNameError = unknownNameError;
        this.names = names;
        names.forEach((constant, name) -> constants.put(name, constant));
    }

    /**
     * Creates the names for all constants of an enum.
     *
     * @param unknownNameError the beginning of the error message for any other name
     * @throws IllegalArgumentException a constant has no name, or two constants have the same name
     */
    @SafeVarargs
    static <E extends Enum<E>> WireNames<E> of(
            Class<E> type, String unknownNameError, Map.Entry<E, String>... names) {
        Map<E, String> namesByConstant = new EnumMap<>(type);
        for (Map.Entry<E, String> name : names) {
            namesByConstant.put(name.getKey(), name.getValue());
        }
        WireNames<E> wireNames = new WireNames<>(unknownNameError, namesByConstant);
        if (wireNames.constants.size() != type.getEnumConstants().length) {
            throw new IllegalArgumentException(
                    "each constant of " + type + " must have a distinct name");
        }
        return wireNames;
    }

    String of(E constant) {
        return names.get(constant);
    }

    /**
     * Returns the constant with this name.
     *
     * @throws IOException no constant has this name
     */
    E constant(String name) throws IOException {
        E constant = constants.get(name);
        if (constant == null) {
            throw new IOException(unknownNameError + ": " + name);
        }
        return constant;
    }
}
