package postbeam.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.json.Json;
import postbeam.json.MalformedJsonException;
import postbeam.model.Readiness;

/** Decodes complete endpoint lists and changes in the JSON format of discovery. */
public final class EndpointListCodec {
    /** IPv4 address of four numbers up to 255, and a port of up to five digits. */
    private static final Pattern IPV4_ADDRESS =
            Pattern.compile("((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.|(?=:))){4}:[0-9]{1,5}");

    private static final int MAX_PORT = 65_535;

    /** Limit for the part of a received value that a message quotes. */
    private static final int MAX_QUOTED_CHARS = 100;

    private static final int MICROS_PER_MILLI = 1000;

    private static final String HOSTS = "hosts";

    private EndpointListCodec() {}

    /**
     * Decodes a complete list or changes, one endpoint after the other.
     *
     * @param body the response body, which is closed
     * @param cells number of cells; endpoints name them from 0
     * @param maxEndpoints limit for the number of entries, which take more memory decoded than as
     *     text
     * @throws IOException if there are more entries, or a member is missing or invalid; the message
     *     names the limit or the member
     */
    static EndpointUpdate decode(InputStream body, int cells, int maxEndpoints) throws IOException {
        Endpoints endpoints = new Endpoints(cells, maxEndpoints);
        Map<String, Object> list = Json.parseObject(body, HOSTS, endpoints::add);
        // Fails if the member is missing or not a list; the elements were decoded above.
        Json.member(list, HOSTS, List.class);
        return endpoints.toUpdate(list);
    }

    /**
     * Decodes a complete list or changes.
     *
     * @param list the JSON object
     * @param cells number of cells; endpoints name them from 0
     * @throws IOException if a member is missing or invalid; the message names the member
     */
    public static EndpointUpdate decode(Map<String, Object> list, int cells) throws IOException {
        Endpoints endpoints = new Endpoints(cells, Integer.MAX_VALUE);
        for (Object host : Json.member(list, HOSTS, List.class)) {
            endpoints.add(host);
        }
        return endpoints.toUpdate(list);
    }

    /** The endpoints that were decoded so far. */
    private static final class Endpoints {
        private final int cells;
        private final int maxEndpoints;
        private final List<Endpoint> endpoints = new ArrayList<>();
        private final Map<String, String> addresses = new LinkedHashMap<>();

        Endpoints(int cells, int maxEndpoints) {
            this.cells = cells;
            this.maxEndpoints = maxEndpoints;
        }

        void add(Object host) throws IOException {
            if (endpoints.size() >= maxEndpoints) {
                throw new MalformedJsonException(
                        "hosts has more than " + maxEndpoints + " entries");
            }
            if (!(host instanceof Map<?, ?> members)) {
                throw new MalformedJsonException(
                        "hosts must contain only objects, but element "
                                + endpoints.size()
                                + " (counted from 0) is not an object");
            }
            Endpoint endpoint = decodeEndpoint(members, cells);
            boolean removed = endpoint.readiness() == Readiness.REMOVED;
            if (!removed || members.get("dial") instanceof String) {
                addresses.put(endpoint.name(), decodeAddress(members));
            }
            endpoints.add(endpoint);
        }

        EndpointUpdate toUpdate(Map<String, Object> list) throws MalformedJsonException {
            long version = Json.member(list, "seq", Number.class).longValue();
            boolean complete = Json.member(list, "whole", Boolean.class);
            return new EndpointUpdate(version, complete, endpoints, addresses);
        }
    }

    private static Endpoint decodeEndpoint(Map<?, ?> host, int cells)
            throws MalformedJsonException {
        String name = Json.member(host, "host", String.class);
        Readiness readiness = decodeReadiness(Json.member(host, "health", String.class));
        int cell = readiness == Readiness.REMOVED ? 0 : Json.member(host, "block", Integer.class);
        if (cell < 0 || cell >= cells) {
            throw new MalformedJsonException(
                    "block, the cell of a host, must be from 0 to "
                            + (cells - 1)
                            + ", not "
                            + cell);
        }
        long startedMicros =
                host.get("born_ms") instanceof Number millis
                        ? millis.longValue() * MICROS_PER_MILLI
                        : 0;
        return new Endpoint(name, String.valueOf(host.get("site")), cell, startedMicros, readiness);
    }

    private static Readiness decodeReadiness(String health) throws MalformedJsonException {
        return switch (health) {
            case "up" -> Readiness.READY;
            case "draining" -> Readiness.DRAINING;
            case "removed" -> Readiness.REMOVED;
            default ->
                    throw new MalformedJsonException(
                            "health is not up, draining or removed: "
                                    + health.substring(
                                                    0, Math.min(health.length(), MAX_QUOTED_CHARS))
                                            .replaceAll("\\p{Cc}", "?"));
        };
    }

    /** Accepts only numeric addresses, as resolving a host name blocks. */
    private static String decodeAddress(Map<?, ?> host) throws MalformedJsonException {
        String address = Json.member(host, "dial", String.class);
        if (!IPV4_ADDRESS.matcher(address).matches() || port(address) > MAX_PORT) {
            throw new MalformedJsonException(
                    "dial is not an IPv4 address with a port: "
                            + address.substring(0, Math.min(address.length(), MAX_QUOTED_CHARS))
                                    .replaceAll("\\p{Cc}", "?"));
        }
        return address;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }
}
