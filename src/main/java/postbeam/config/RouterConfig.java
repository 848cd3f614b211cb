package postbeam.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import postbeam.json.Json;

/**
 * Reads and checks what a router is told at its start, in a file of JSON; messages name the faulty
 * key.
 */
public final class RouterConfig {
    /** What stands in a variable of the environment too, for a file that lacks it. */
    private static final Map<String, String> ENVIRONMENT_VARIABLES =
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
    private static final Map<String, Integer> DEFAULT_LIMITS =
            Map.of("sockets", 1024, "memory_mb", 192);

    /** MB: 16 TB, beyond any machine; what is worked out of it stays a whole number. */
    private static final int MAX_MEMORY_MB = 1 << 24;

    private final Map<String, Object> document;

    /** All of it but the list, by path; and the settings, as the simulator's wire names them. */
    public final InstanceSettings instance;

    public final InstanceSettings settings;

    private RouterConfig(Map<String, Object> told, Map<String, Object> settings) {
        this.document = told;
        this.instance = new InstanceSettings(told, "");
        this.settings = new InstanceSettings(settings, "settings.");
    }

    /** An IOException or IllegalArgumentException says what is wrong with it. */
    public static RouterConfig read(String file) throws IOException {
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
        return parse(bytes);
    }

    /** From the file's bytes. */
    public static RouterConfig parse(byte[] bytes) throws IOException {
        Map<String, Object> told = Json.parseObject(bytes);
        ENVIRONMENT_VARIABLES.forEach(
                (key, variable) -> {
                    if (System.getenv(variable) != null) {
                        told.putIfAbsent(key, System.getenv(variable));
                    }
                });
        return new RouterConfig(told, map(Json.member(told, "settings", Map.class)));
    }

    /** A limit of the machine; where none is told, the usual one. */
    public int limit(String name, int least) {
        SettingsValidator.requireObject(instance, "limits");
        String path = "limits." + name;
        int limit =
                instance.text(path) == null
                        ? DEFAULT_LIMITS.get(name)
                        : instance.integerAtLeast(path, least);
        if (name.equals("memory_mb") && limit > MAX_MEMORY_MB) {
            throw instance.invalid(
                    path, "must be " + MAX_MEMORY_MB + " or less, not " + instance.text(path));
        }
        return limit;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Map<?, ?> object) {
        return (Map<String, Object>) object;
    }

    /** The list as this router last held it, in discovery's form; null where none is given. */
    public Map<String, Object> initialEndpointList() {
        return document.get("known") instanceof Map<?, ?> list ? map(list) : null;
    }

    /** HOST:PORT as where to connect or listen. */
    public static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** An address with its port. */
    public String address(String path) {
        String value = instance.required(path);
        if (!value.matches("[^:]+:[0-9]{1,5}")
                || Integer.parseInt(value.replaceAll(".*:", "")) > 65_535) {
            throw instance.invalid(path, "must be HOST:PORT, not " + value);
        }
        return value;
    }

    /** The seed: 16 hex digits. */
    public long seed() {
        try {
            return Long.parseUnsignedLong(instance.required("seed"), 16);
        } catch (NumberFormatException e) {
            throw instance.invalid("seed", "must be up to 16 hex digits");
        }
    }
}
