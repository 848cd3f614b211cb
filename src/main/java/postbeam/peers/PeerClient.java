package postbeam.peers;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import postbeam.coordination.CoordinationError;
import postbeam.coordination.CoordinationStripe;
import postbeam.coordination.LeaseGrant;
import postbeam.coordination.LeaseRequest;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.VoteRequest;
import postbeam.coordination.VoteResponse;

/**
 * Sends the requests of the stripes to the other routers over HTTP, and passes the responses to the
 * stripes. It owns the thread that polls the stripes and the threads that handle responses; none of
 * them waits while it holds a lock.
 */
final class PeerClient {
    private static final System.Logger LOG = System.getLogger(PeerClient.class.getName());

    /**
     * Interval at which the stripes are polled for messages to send; short compared to the time
     * between renewals of a lease, which is a third of the lease.
     */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    /**
     * How long a response may take. A later one is of little use, as leases count from their
     * request.
     */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(500);

    /**
     * Maximum number of requests in flight to one router; further requests are dropped, as if they
     * were lost.
     */
    private static final int MAX_REQUESTS_IN_FLIGHT = 4;

    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    /**
     * Number of consecutive failed requests to a router after which, and after each further such
     * number, it is logged as unresponsive.
     */
    private static final int UNRESPONSIVE_AFTER = 50;

    private static final int RESPONSE_THREADS = 2;
    private static final int HTTP_OK = 200;

    private final FleetConfig config;
    private final ProcessIdentity self;
    private final String digest;
    private final PeerStripes stripes;
    private final PeerErrorLog errorLog;
    private final ExecutorService responseExecutor =
            Executors.newFixedThreadPool(RESPONSE_THREADS, PeerClient::responseThread);
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(RESPONSE_TIMEOUT)
                    .executor(responseExecutor)
                    .build();
    private final Map<String, AtomicInteger> requestsInFlight = new TreeMap<>();
    private final Map<String, AtomicInteger> consecutiveFailures = new TreeMap<>();
    private final Thread pollThread = new Thread(this::pollLoop, "together");
    private volatile boolean stopped;

    PeerClient(
            FleetConfig config, ProcessIdentity self, PeerStripes stripes, PeerErrorLog errorLog) {
        this.config = config;
        this.self = self;
        this.digest = config.digest();
        this.stripes = stripes;
        this.errorLog = errorLog;
        for (String router : config.routers().keySet()) {
            requestsInFlight.put(router, new AtomicInteger());
            consecutiveFailures.put(router, new AtomicInteger());
        }
        pollThread.setDaemon(true);
    }

    private static Thread responseThread(Runnable task) {
        Thread thread = new Thread(task, "together-answers");
        thread.setDaemon(true);
        return thread;
    }

    void start() {
        pollThread.start();
    }

    void stop() {
        stopped = true;
        pollThread.interrupt();
        responseExecutor.shutdownNow();
    }

    // ---- requests

    private void pollLoop() {
        while (!stopped) {
            try {
                poll();
                Thread.sleep(POLL_INTERVAL.toMillis());
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "polling the stripes or sending to the other routers failed",
                        e);
            }
        }
    }

    private void poll() {
        List<VoteRequest> voteRequests = new ArrayList<>();
        Map<String, Map<Integer, List<LeaseRequest>>> leaseRequestsByLeader = new TreeMap<>();
        for (int i = 0; i < stripes.stripeCount(); i++) {
            CoordinationStripe.OutgoingMessages messages = stripes.pollMessages(i);
            if (messages.voteRequest() != null) {
                voteRequests.add(messages.voteRequest());
            }
            if (!messages.leaseRequests().isEmpty()) {
                leaseRequestsByLeader
                        .computeIfAbsent(messages.leader().name(), name -> new TreeMap<>())
                        .put(i, messages.leaseRequests());
            }
        }
        for (String router : config.routers().keySet()) {
            Map<Integer, List<LeaseRequest>> leaseRequests =
                    leaseRequestsByLeader.getOrDefault(router, Map.of());
            boolean noRequests = voteRequests.isEmpty() && leaseRequests.isEmpty();
            if (!router.equals(self.name()) && !noRequests) {
                send(
                        router,
                        PeerMessageCodec.encode(
                                new PeerMessageCodec.PeerRequest(
                                        digest, self, voteRequests, leaseRequests)));
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // whenComplete handles the outcome.
    private void send(String router, byte[] body) {
        AtomicInteger inFlight = requestsInFlight.get(router);
        if (inFlight.incrementAndGet() > MAX_REQUESTS_IN_FLIGHT) {
            inFlight.decrementAndGet();
            return;
        }
        String address = config.routers().get(router);
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + address + PeerRequestHandler.REQUEST_PATH))
                        .timeout(RESPONSE_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        http.sendAsync(request, info -> new BoundedBodySubscriber(MAX_RESPONSE_BYTES))
                .orTimeout(RESPONSE_TIMEOUT.toMillis() * 2, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (response, failure) -> {
                            inFlight.decrementAndGet();
                            onResponse(router, response, failure);
                        });
    }

    // ---- responses

    private void onResponse(String router, HttpResponse<byte[]> response, Throwable failure) {
        if (failure != null) {
            onFailure(router, String.valueOf(failure.getMessage()));
            return;
        }
        if (response.statusCode() != HTTP_OK) {
            onFailure(router, "HTTP status " + response.statusCode());
            return;
        }
        consecutiveFailures.get(router).set(0);
        try {
            PeerMessageCodec.PeerResponse message =
                    PeerMessageCodec.decodeResponse(response.body(), self);
            if (!message.sender().name().equals(router)) {
                throw new IOException(
                        "its sender must be router " + router + ", not " + message.sender().name());
            }
            for (VoteResponse vote : message.votes()) {
                stripes.onVote(vote);
            }
            for (Map.Entry<Integer, List<LeaseGrant>> grants : message.grants().entrySet()) {
                stripes.onGrants(grants.getKey(), grants.getValue());
            }
        } catch (IOException e) {
            errorLog.log(
                    router,
                    new CoordinationError.MalformedMessage(router, String.valueOf(e.getMessage())));
        }
    }

    private void onFailure(String router, String cause) {
        int failures = consecutiveFailures.get(router).incrementAndGet();
        if (failures % UNRESPONSIVE_AFTER == 0) {
            errorLog.log(router, new CoordinationError.UnresponsiveRouter(router, cause, failures));
        }
    }
}
