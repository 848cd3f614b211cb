package postbeam.simulator;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postbeam.config.InstanceSettings;
import postbeam.endpoints.Endpoint;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;

/** Reads events of the simulator's wire protocol, and maps wire names to the terms of the code. */
final class EventReader {
    /** Attribute bit: the shard request has an estimate of its work. */
    private static final int HAS_WORK_HINT = 1;

    /** Attribute bit: the client marks the query as a retry. */
    private static final int CLIENT_RETRY = 2;

    /** Scope of an endpoint update: all endpoints, in response to a poll. */
    private static final int SCOPE_COMPLETE = 1;

    /** Scope of an endpoint update: all endpoints, not in response to a poll. */
    private static final int SCOPE_CACHED = 2;

    /** Scope of an endpoint update: none, as the poll failed. */
    private static final int SCOPE_FAILED = 3;

    private static final long NANOS_PER_MICRO = 1000;

    private final LineReader in;

    /** Endpoint lists, by the number with which events refer to them. */
    private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();

    EventReader(LineReader in) {
        this.in = in;
    }

    /** Reads the rest of an event for one router. */
    RouterEvent readEvent(String name) {
        return switch (name) {
            case "INGRESS" -> readArrival();
            case "REPORT_BACK" -> readAttemptReport();
            case "RING" -> new RouterEvent.TimerExpiry((int) in.number(0));
            case "REGISTRY" -> readEndpointUpdate();
            case "ABANDONED" -> new RouterEvent.ClientDisconnect(in.requiredText());
            case "CHECKED" -> readProbeResult();
            // No query class has streamed answers, and simulated routers do not exchange gossip.
            case "FIRST", "NEIGHBOUR_SAYS" -> new RouterEvent.Ignored();
            default -> throw new InvalidFieldException("unknown event " + name);
        };
    }

    /** Reads settings up to the end of the line. */
    InstanceSettings readSettings() {
        InstanceSettings settings = new InstanceSettings();
        while (in.hasMoreFields()) {
            settings.putPair(in.requiredText());
        }
        return settings;
    }

    /** Reads an endpoint list, to which later events refer by its number. */
    void readEndpointList() throws IOException {
        int list = (int) in.requiredNumber();
        long count = in.requiredNumber();
        List<Endpoint> endpoints = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!in.nextLine() || !"ROW".equals(in.nextField())) {
                throw in.malformed("the endpoint list has " + i + " rows, expected " + count);
            }
            endpoints.add(readEndpoint());
        }
        endpointLists.put(list, endpoints);
    }

    private Endpoint readEndpoint() {
        String zone = in.nextField();
        int cell = (int) in.number(0);
        String address = in.requiredText();
        in.skipField();
        long startedMicros = in.number(0);
        in.skipField();
        Readiness readiness = readiness((int) in.requiredNumber());
        return new Endpoint(address, zone, cell, startedMicros, readiness);
    }

    /** Reads the arrival of a shard request or, if the shard is negative, of a query. */
    private RouterEvent readArrival() {
        String id = in.requiredText();
        String queryClass = in.nextField();
        String tenant = in.nextField();
        in.skipField();
        Duration timeout = micros(in.requiredNumber());
        long workMicros = in.number(0);
        long queryNumber = (long) in.requiredDecimal();
        int shard = (int) in.requiredDecimal();
        double weight = in.requiredDecimal();
        long attributes = in.number(0);
        if (shard < 0) {
            boolean clientRetry = (attributes & CLIENT_RETRY) != 0;
            return new RouterEvent.QueryArrival(
                    id, queryNumber, queryClass, tenant, timeout, clientRetry);
        }
        boolean hasWorkHint = (attributes & HAS_WORK_HINT) != 0 && workMicros > 0;
        Duration work = hasWorkHint ? micros(workMicros) : null;
        return new RouterEvent.ShardRequestArrival(id, queryNumber, shard, weight, work);
    }

    private RouterEvent readAttemptReport() {
        String requestId = in.requiredText();
        int attemptIndex = (int) in.requiredNumber();
        AttemptOutcome outcome = outcome(in.requiredText());
        boolean isLast = "1".equals(in.nextField());
        Duration latency = micros(in.number(0));
        return new RouterEvent.AttemptReport(requestId, attemptIndex, outcome, isLast, latency);
    }

    private RouterEvent readProbeResult() {
        String node = in.requiredText();
        AttemptOutcome outcome = outcome(in.requiredText());
        return new RouterEvent.ProbeResult(node, outcome == AttemptOutcome.SUCCESS);
    }

    private RouterEvent readEndpointUpdate() {
        int list = (int) in.number(0);
        int scope = (int) in.requiredNumber();
        if (scope == SCOPE_FAILED) {
            return new RouterEvent.PollFailure();
        }
        List<Endpoint> endpoints = endpointLists.get(list);
        if (endpoints == null) {
            throw new InvalidFieldException("unknown endpoint list " + list);
        }
        boolean complete = scope == SCOPE_COMPLETE || scope == SCOPE_CACHED;
        return new RouterEvent.EndpointUpdate(endpoints, complete, scope != SCOPE_CACHED);
    }

    private static Duration micros(long count) {
        return Duration.ofNanos(count * NANOS_PER_MICRO);
    }

    private static Readiness readiness(int wireNumber) {
        return switch (wireNumber) {
            case 0 -> Readiness.REMOVED;
            case 1 -> Readiness.READY;
            case 2 -> Readiness.DRAINING;
            default ->
                    throw new InvalidFieldException(
                            "unknown readiness "
                                    + wireNumber
                                    + ": expected 0 (removed), 1 (ready) or 2 (draining)");
        };
    }

    private static AttemptOutcome outcome(String wireName) {
        return switch (wireName) {
            case "ok" -> AttemptOutcome.SUCCESS;
            case "error" -> AttemptOutcome.ERROR;
            case "full" -> AttemptOutcome.OVERLOADED;
            case "timeout" -> AttemptOutcome.TIMEOUT;
            case "connect_failed" -> AttemptOutcome.UNREACHABLE;
            case "reset" -> AttemptOutcome.RESET;
            case "cancelled" -> AttemptOutcome.CANCELLED;
            case "moot" -> AttemptOutcome.NEVER_SENT;
            default -> throw new InvalidFieldException("unknown outcome " + wireName);
        };
    }
}
