package postbeam.discovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.json.Json;
import postbeam.model.Readiness;

/** The data-node list in discovery's form. */
public final class EndpointListCodec {
    private static final Pattern ADDRESS =
            Pattern.compile("((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.|(?=:))){4}:[0-9]{1,5}");

    private EndpointListCodec() {}

    /** An IOException says what can't be used of it; cells are numbered from 0 up to so many. */
    public static EndpointUpdate decode(Map<String, Object> list, int cells) throws IOException {
        List<Endpoint> entries = new ArrayList<>();
        Map<String, String> addresses = new LinkedHashMap<>();
        for (Object line : Json.member(list, "hosts", List.class)) {
            if (!(line instanceof Map<?, ?> host)) {
                throw new IOException("hosts holds something else than objects");
            }
            String name = Json.member(host, "host", String.class);
            Readiness readiness =
                    switch (Json.member(host, "health", String.class)) {
                        case "up" -> Readiness.READY;
                        case "draining" -> Readiness.DRAINING;
                        case "removed" -> Readiness.REMOVED;
                        default ->
                                throw new IOException("health is unknown: " + host.get("health"));
                    };
            boolean gone = readiness == Readiness.REMOVED;
            if (!gone || host.get("dial") instanceof String) {
                addresses.put(name, checkedAddress(Json.member(host, "dial", String.class)));
            }
            Object born = host.get("born_ms");
            int cell = gone ? 0 : Json.member(host, "block", Integer.class);
            if (cell < 0 || cell >= cells) {
                throw new IOException("block is no cell: " + cell);
            }
            entries.add(
                    new Endpoint(
                            name,
                            String.valueOf(host.get("site")),
                            cell,
                            born instanceof Number millis ? millis.longValue() * 1000 : 0,
                            readiness));
        }
        return new EndpointUpdate(
                Json.member(list, "seq", Number.class).longValue(),
                Json.member(list, "whole", Boolean.class),
                entries,
                addresses);
    }

    /** Numbers alone: a name would have to be looked up, and that waits. */
    private static String checkedAddress(String dial) throws IOException {
        if (!ADDRESS.matcher(dial).matches()
                || Integer.parseInt(dial.substring(dial.indexOf(':') + 1)) > 65_535) {
            throw new IOException("dial is not an address: " + dial);
        }
        return dial;
    }
}
