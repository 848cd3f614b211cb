package postbeam.setup;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Reads and checks what a router is told at its start, in a file of JSON; messages name the faulty
 * key.
 */
public final class Startup {
    /** What stands in a variable of the environment too, for a file that lacks it. */
    private static final Map<String, String> FROM_ENVIRONMENT =
            Map.of(
                    "name",
                    "BALANCER_NAME",
                    "listen",
                    "BALANCER_LISTEN",
                    "discovery",
                    "BALANCER_DISCOVERY");

    /**
     * Descriptors and MB where no limits are told: what the deploy page names for scored days,
     * which tell theirs.
     */
    private static final Map<String, Integer> USUAL_LIMITS =
            Map.of("sockets", 1024, "memory_mb", 192);

    /** MB: 16 TB, beyond any machine; what is worked out of it stays a whole number. */
    private static final int MOST_MB = 1 << 24;

    private final Map<String, Object> told;

    /** All of it but the list, by path; and the settings, as the simulator's wire names them. */
    public final Info info;

    public final Info settings;

    private Startup(Map<String, Object> told, Map<String, Object> settings) {
        this.told = told;
        this.info = new Info(told, "");
        this.settings = new Info(settings, "settings.");
    }

    /** An IOException or IllegalArgumentException says what is wrong with it. */
    public static Startup read(String file) throws IOException {
        if (file == null || file.isEmpty()) {
            throw new IllegalArgumentException(
                    "BALANCER_CONFIG is not set and no --config is given");
        }
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new IOException("can't be read (" + e.getClass().getSimpleName() + ")", e);
        }
        return of(bytes);
    }

    /** From the file's bytes. */
    public static Startup of(byte[] bytes) throws IOException {
        Map<String, Object> told = Json.object(bytes);
        FROM_ENVIRONMENT.forEach(
                (key, variable) -> {
                    if (System.getenv(variable) != null) {
                        told.putIfAbsent(key, System.getenv(variable));
                    }
                });
        return new Startup(told, map(Json.member(told, "settings", Map.class)));
    }

    /** A limit of the machine; where none is told, the usual one. */
    public int limit(String name, int least) {
        Checks.object(info, "limits");
        String path = "limits." + name;
        int limit = info.text(path) == null ? USUAL_LIMITS.get(name) : info.atLeast(path, least);
        if (name.equals("memory_mb") && limit > MOST_MB) {
            throw info.bad(path, "must be " + MOST_MB + " or less, not " + info.text(path));
        }
        return limit;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Map<?, ?> object) {
        return (Map<String, Object>) object;
    }

    /** The list as this router last held it, in discovery's form; null where none is given. */
    public Map<String, Object> known() {
        return told.get("known") instanceof Map<?, ?> list ? map(list) : null;
    }

    /** HOST:PORT as where to connect or listen. */
    public static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** An address with its port. */
    public String address(String path) {
        String value = info.needed(path);
        if (!value.matches("[^:]+:[0-9]{1,5}")
                || Integer.parseInt(value.replaceAll(".*:", "")) > 65_535) {
            throw info.bad(path, "must be HOST:PORT, not " + value);
        }
        return value;
    }

    /** The seed: 16 hex digits. */
    public long seed() {
        try {
            return Long.parseUnsignedLong(info.needed("seed"), 16);
        } catch (NumberFormatException e) {
            throw info.bad("seed", "must be up to 16 hex digits");
        }
    }
}
