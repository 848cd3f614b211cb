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
 * Configuration of a router, from a JSON file and, for a few members, environment variables. Values
 * are checked when they are accessed; error messages name the key.
 */
public final class RouterConfig {
    /** Environment variables, by the members that they replace if the file lacks them. */
    private static final Map<String, String> ENVIRONMENT_VARIABLES =
            Map.of(
                    "name", "BALANCER_NAME",
                    "listen", "BALANCER_LISTEN",
                    "discovery", "BALANCER_DISCOVERY");

    private static final String MEMORY_MB = "memory_mb";
    private static final String ENDPOINT_LIST = "known";

    /** Limits that apply if the file sets none: a number of file descriptors, and memory in MB. */
    private static final Map<String, Integer> DEFAULT_LIMITS =
            Map.of("sockets", 1024, MEMORY_MB, 192);

    /** 16 TB, more than any machine has; numbers derived from it still fit an int. */
    private static final int MAX_MEMORY_MB = 1 << 24;

    private static final Pattern HOST_AND_PORT = Pattern.compile("[^:]+:[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;
    private static final int SEED_RADIX = 16;

    /**
     * All members of the configuration by path, those of {@code settings} included, but without the
     * endpoint list: as paths, a list of thousands of nodes takes several megabytes.
     */
    public final InstanceSettings members;

    /** The member {@code settings}, by the paths of the simulator's protocol. */
    public final InstanceSettings settings;

    /** Null if the configuration has no endpoint list. */
    private final Map<String, Object> endpointList;

    private RouterConfig(
            InstanceSettings members, InstanceSettings settings, Map<String, Object> endpointList) {
        this.members = members;
        this.settings = settings;
        this.endpointList = endpointList;
    }

    /**
     * Reads a configuration file.
     *
     * @param file path of the file; null or empty is an error
     * @throws IOException if the file can't be read or is malformed
     * @throws IllegalArgumentException if the path is null or empty
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
     * Parses the contents of a configuration file.
     *
     * @throws IOException if they are not a JSON object that has an object {@code settings}
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
        Map<String, Object> settings = asObject(Json.member(document, "settings", Map.class));
        Object endpointList = document.remove(ENDPOINT_LIST);
        return new RouterConfig(
                new InstanceSettings(document, ""),
                new InstanceSettings(settings, "settings."),
                endpointList instanceof Map<?, ?> list ? asObject(list) : null);
    }

    @SuppressWarnings("unchecked") // The names of a JSON object's members are strings.
    private static Map<String, Object> asObject(Map<?, ?> object) {
        return (Map<String, Object>) object;
    }

    /**
     * Returns a resource limit of the process, or its default if the file does not set it.
     *
     * @param name name below {@code limits}
     * @param min smallest valid value
     */
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
     * Returns the endpoint list that this router last had, in discovery's format; empty if the file
     * has none.
     */
    public Optional<Map<String, Object>> initialEndpointList() {
        return Optional.ofNullable(endpointList);
    }

    /**
     * Returns this configuration without the endpoint list, which is only used at startup and would
     * otherwise stay in memory.
     */
    public RouterConfig withoutEndpointList() {
        return new RouterConfig(members, settings, null);
    }

    /** Returns a member that must have the form HOST:PORT. */
    public String address(String path) {
        String value = members.required(path);
        if (!HOST_AND_PORT.matcher(value).matches() || port(value) > MAX_PORT) {
            throw members.invalid(path, "must be HOST:PORT, not " + value);
        }
        return value;
    }

    /** Returns the socket address for a text of the form HOST:PORT. */
    public static InetSocketAddress socketAddress(String address) {
        return new InetSocketAddress(address.substring(0, address.lastIndexOf(':')), port(address));
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Returns the seed of this router's random numbers, written as up to 16 hex digits. */
    public long seed() {
        try {
            return Long.parseUnsignedLong(members.required("seed"), SEED_RADIX);
        } catch (NumberFormatException e) {
            throw members.invalid("seed", "must be up to 16 hex digits");
        }
    }
}
