package postbeam.peers;

import java.io.IOException;
import java.util.List;
import postbeam.coordination.CoordinationStripe;
import postbeam.coordination.LeaseGrant;
import postbeam.coordination.LeaseRequest;
import postbeam.coordination.StripedCoordinator;
import postbeam.coordination.VoteRequest;
import postbeam.coordination.VoteResponse;

/** Passes messages of peers to the stripes; checks the stripe numbers, which come from peers. */
final class PeerStripes {
    private final StripedCoordinator stripes;

    PeerStripes(StripedCoordinator stripes) {
        this.stripes = stripes;
    }

    int stripeCount() {
        return stripes.stripeCount();
    }

    /** The messages that the stripe has to send now. */
    CoordinationStripe.OutgoingMessages pollMessages(int stripe) {
        return stripes.withStripe(stripe, (now, state) -> state.pollMessages(now));
    }

    VoteResponse handle(VoteRequest request) throws IOException {
        return withStripe(request.stripe(), (now, stripe) -> stripe.handle(now, request));
    }

    List<LeaseGrant> handle(int stripe, List<LeaseRequest> requests) throws IOException {
        return withStripe(
                stripe,
                (now, state) ->
                        requests.stream().map(request -> state.handle(now, request)).toList());
    }

    void onVote(VoteResponse vote) throws IOException {
        withStripe(
                vote.stripe(),
                (now, stripe) -> {
                    stripe.onVote(now, vote);
                    return null;
                });
    }

    void onGrants(int stripe, List<LeaseGrant> grants) throws IOException {
        withStripe(
                stripe,
                (now, state) -> {
                    grants.forEach(grant -> state.onGrant(now, grant));
                    return null;
                });
    }

    private <T> T withStripe(int stripe, StripedCoordinator.StripeOperation<T> operation)
            throws IOException {
        if (stripe < 0 || stripe >= stripes.stripeCount()) {
            throw new IOException(
                    "there is no stripe "
                            + stripe
                            + "; the stripes of this router are 0 to "
                            + (stripes.stripeCount() - 1));
        }
        return stripes.withStripe(stripe, operation);
    }
}
