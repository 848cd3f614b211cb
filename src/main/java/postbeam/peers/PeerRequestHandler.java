package postbeam.peers;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.coordination.CoordinationError;
import postbeam.coordination.LeaseGrant;
import postbeam.coordination.LeaseRequest;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.VoteRequest;
import postbeam.coordination.VoteResponse;
import postbeam.errors.OperatorError;
import postbeam.errors.OperatorErrorException;

/** Handles the requests of other routers. Called on several threads of the client server. */
final class PeerRequestHandler {
    static final String REQUEST_PATH = "/together/v1/ask";

    /** The router in the log key of an error whose router is unknown. */
    private static final String UNNAMED = "-";

    private final FleetConfig config;
    private final ProcessIdentity self;
    private final String digest;
    private final PeerStripes stripes;
    private final PeerErrorLog errorLog;

    PeerRequestHandler(
            FleetConfig config, ProcessIdentity self, PeerStripes stripes, PeerErrorLog errorLog) {
        this.config = config;
        this.self = self;
        this.digest = config.digest();
        this.stripes = stripes;
        this.errorLog = errorLog;
    }

    /**
     * Handles one request and returns the encoded response.
     *
     * @throws OperatorErrorException if the request is malformed, or its sender is not another
     *     router of this fleet with the same parameters; the error is logged as well
     * @throws IOException if the request names a stripe that does not exist
     */
    byte[] handle(byte[] body) throws IOException, OperatorErrorException {
        PeerMessageCodec.PeerRequest request = decode(body);
        checkSender(request);
        List<VoteResponse> votes = new ArrayList<>();
        for (VoteRequest voteRequest : request.voteRequests()) {
            votes.add(stripes.handle(voteRequest));
        }
        Map<Integer, List<LeaseGrant>> grants = new LinkedHashMap<>();
        for (Map.Entry<Integer, List<LeaseRequest>> ofStripe : request.leaseRequests().entrySet()) {
            grants.put(ofStripe.getKey(), stripes.handle(ofStripe.getKey(), ofStripe.getValue()));
        }
        return PeerMessageCodec.encode(new PeerMessageCodec.PeerResponse(self, votes, grants));
    }

    private PeerMessageCodec.PeerRequest decode(byte[] body) throws OperatorErrorException {
        try {
            return PeerMessageCodec.decodeRequest(body);
        } catch (IOException e) {
            throw logAndWrap(
                    UNNAMED,
                    new CoordinationError.MalformedMessage(
                            "a router", String.valueOf(e.getMessage())));
        }
    }

    private void checkSender(PeerMessageCodec.PeerRequest request) throws OperatorErrorException {
        String name = request.sender().name();
        if (!config.routers().containsKey(name)) {
            throw logAndWrap(UNNAMED, new CoordinationError.UnknownRouter(name));
        }
        if (name.equals(self.name())) {
            throw logAndWrap(
                    name,
                    new CoordinationError.DuplicateName(
                            name, self.incarnation(), request.sender().incarnation()));
        }
        if (!request.digest().equals(digest)) {
            throw logAndWrap(name, new CoordinationError.MismatchedFleetConfig(name));
        }
    }

    private OperatorErrorException logAndWrap(String router, OperatorError error) {
        errorLog.log(router, error);
        return new OperatorErrorException(error);
    }
}
