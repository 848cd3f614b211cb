package postbeam.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import postbeam.json.Json;

/**
 * The configuration that a router is started with, from a file of JSON and, for a few members, the
 * environment. Values are checked as they are read; messages name the key.
 */
public final class RouterConfig {
    /** Variables that stand in for members that the file lacks. */
    private static final Map<String, String> ENVIRONMENT_VARIABLES =
            Map.of(
                    "name", "BALANCER_NAME",
                    "listen", "BALANCER_LISTEN",
                    "discovery", "BALANCER_DISCOVERY");

    private static final String MEMORY_MB = "memory_mb";

    /** Descriptors and MB where no limits are stated. */
    private static final Map<String, Integer> DEFAULT_LIMITS =
            Map.of("sockets", 1024, MEMORY_MB, 192);

    /** 16 TB, beyond any machine: what is worked out of it stays an integer. */
    private static final int MAX_MEMORY_MB = 1 << 24;

    private static final Pattern HOST_AND_PORT = Pattern.compile("[^:]+:[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;
    private static final int SEED_RADIX = 16;

    /** The whole configuration by path. */
    public final InstanceSettings members;

    /** Its settings, by the paths of the simulator's protocol. */
    public final InstanceSettings settings;

    private final Map<String, Object> document;

    private RouterConfig(Map<String, Object> document, Map<String, Object> settings) {
        this.document = document;
        this.members = new InstanceSettings(document, "");
        this.settings = new InstanceSettings(settings, "settings.");
    }

    /**
     * Reads a file.
     *
     * @param file null or empty where none is named, which is an error
     * @throws IOException if it can't be read or is malformed
     * @throws IllegalArgumentException if none is named
     */
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

    /**
     * Parses a file's bytes.
     *
     * @throws IOException if they are malformed
     */
    public static RouterConfig parse(byte[] bytes) throws IOException {
        Map<String, Object> document = Json.parseObject(bytes);
        ENVIRONMENT_VARIABLES.forEach(
                (member, variable) -> {
                    String value = System.getenv(variable);
                    if (value != null) {
                        document.putIfAbsent(member, value);
                    }
                });
        return new RouterConfig(document, asObject(Json.member(document, "settings", Map.class)));
    }

    @SuppressWarnings("unchecked") // The names of a JSON object's members are strings.
    private static Map<String, Object> asObject(Map<?, ?> object) {
        return (Map<String, Object>) object;
    }

    /** A limit of the machine, at least so large; where none is stated, the default. */
    public int limit(String name, int min) {
        SettingsValidator.requireObject(members, "limits");
        String path = "limits." + name;
        int limit =
                members.text(path) == null
                        ? DEFAULT_LIMITS.get(name)
                        : members.integerAtLeast(path, min);
        if (name.equals(MEMORY_MB) && limit > MAX_MEMORY_MB) {
            throw members.invalid(
                    path, "must be " + MAX_MEMORY_MB + " or less, not " + members.text(path));
        }
        return limit;
    }

    /**
     * The endpoint list as this router last held it, in discovery's form; empty where none is
     * given.
     */
    public Optional<Map<String, Object>> initialEndpointList() {
        return document.get("known") instanceof Map<?, ?> list
                ? Optional.of(asObject(list))
                : Optional.empty();
    }

    /** A member that must be HOST:PORT. */
    public String address(String path) {
        String value = members.required(path);
        if (!HOST_AND_PORT.matcher(value).matches() || port(value) > MAX_PORT) {
            throw members.invalid(path, "must be HOST:PORT, not " + value);
        }
        return value;
    }

    /** The socket address of HOST:PORT. */
    public static InetSocketAddress socketAddress(String address) {
        return new InetSocketAddress(address.substring(0, address.lastIndexOf(':')), port(address));
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** The seed of this router's random numbers: up to 16 hex digits. */
    public long seed() {
        try {
            return Long.parseUnsignedLong(members.required("seed"), SEED_RADIX);
        } catch (NumberFormatException e) {
            throw members.invalid("seed", "must be up to 16 hex digits");
        }
    }
}
