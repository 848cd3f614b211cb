package postbeam.shared;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Who keeps one stripe, as one router sees it: a voter, and a candidate that may be in office. At
 * most one router at any moment is in office by its own clock, whatever messages and processes do
 * (docs/together.md, invariant 1).
 */
public class Office {
    private final Who self;
    private final int stripe;
    private final List<String> fleet;
    private final OfficeTerms terms;
    private final Random chance;

    // As a voter.
    private final Duration votesFrom;
    private long highest;
    private Who promised;
    private Duration promisedUntil = Duration.ZERO;

    // As a candidate and keeper.
    private boolean standing;
    private long term;
    private long round;
    private Duration askedAt;
    private Duration standAt;
    private final Set<String> votes = new TreeSet<>();
    private Duration since;
    private Duration end;

    /** Starts with no memory; the fleet is all configured names, this router's among them. */
    public Office(
            Who self,
            int stripe,
            List<String> fleet,
            OfficeTerms terms,
            Duration now,
            Random chance) {
        this.self = self;
        this.stripe = stripe;
        this.fleet = fleet;
        this.terms = terms;
        this.chance = chance;
        this.votesFrom = now.plus(terms.longest()).plus(terms.drift());
        this.standAt = votesFrom.plus(turn());
    }

    // ---- as a voter

    public Vote asked(Duration now, Ballot ballot) {
        boolean given =
                fleet.contains(ballot.candidate().name())
                        && mayVote(now)
                        && ballot.term() >= highest
                        && free(now, ballot.candidate());
        if (given) {
            promise(now, ballot.candidate(), ballot.term());
        }
        return new Vote(stripe, ballot.term(), ballot.round(), self.name(), given, highest);
    }

    /**
     * Guards against two votes in one term: a process that came back under its name does not know
     * whom it promised. It hurts where the whole fleet starts at once: no keeper for so long.
     */
    protected boolean mayVote(Duration now) {
        return now.compareTo(votesFrom) >= 0;
    }

    private boolean free(Duration now, Who candidate) {
        return promised == null || promised.equals(candidate) || now.compareTo(promisedUntil) >= 0;
    }

    private void promise(Duration now, Who candidate, long inTerm) {
        promised = candidate;
        promisedUntil = now.plus(terms.promise());
        highest = inTerm;
        standAt = promisedUntil.plus(turn());
    }

    /**
     * Who this router last voted for, while that binds it: perhaps the keeper; null where it knows
     * none.
     */
    public Who keeper(Duration now) {
        return promised != null && now.compareTo(promisedUntil) < 0 ? promised : null;
    }

    // ---- as a candidate

    /** The ballot to send to all others now; null where there is none. */
    public Ballot tick(Duration now) {
        if (standing && now.minus(askedAt).compareTo(terms.renew()) >= 0) {
            if (inOffice(now)) {
                stand(false);
            } else {
                giveUp(now);
            }
        }
        boolean due =
                inOffice(now)
                        ? now.minus(askedAt).compareTo(terms.renew()) >= 0
                        : now.compareTo(standAt) >= 0 && mayVote(now) && free(now, self);
        if (standing || !due) {
            return null;
        }
        term = inOffice(now) ? term : Math.max(term, highest) + 1;
        round++;
        askedAt = now;
        stand(true);
        promise(now, self, term);
        votes.add(self.name());
        won(now);
        return new Ballot(stripe, term, round, self);
    }

    private void stand(boolean stands) {
        standing = stands;
        votes.clear();
    }

    public void answered(Duration now, Vote vote) {
        if (!standing
                || vote.term() != term
                || vote.round() != round
                || !fleet.contains(vote.voter())) {
            return;
        }
        if (vote.given()) {
            votes.add(vote.voter());
            won(now);
        } else if (!inOffice(now) && vote.highest() >= term) {
            term = vote.highest();
            giveUp(now);
        }
    }

    /**
     * Its own vote is free again: nobody can have it counted, as answers to a round that is over
     * are not heard.
     */
    private void giveUp(Duration now) {
        stand(false);
        promised = self.equals(promised) ? null : promised;
        standAt = now.plus(turn());
    }

    private void won(Duration now) {
        Duration until = askedAt.plus(terms.office());
        if (votes.size() < majority() || now.compareTo(until) >= 0) {
            return;
        }
        since = inOffice(now) ? since : now;
        end = until;
        stand(false);
    }

    /** Of all that are configured, whether they are there or not. */
    protected int majority() {
        return fleet.size() / 2 + 1;
    }

    /**
     * A wait that differs among routers, so that few stand at once; for each stripe others come
     * first.
     */
    private Duration turn() {
        int rank = Math.floorMod(fleet.indexOf(self.name()) - stripe, fleet.size());
        double share = (rank + chance.nextDouble()) / fleet.size();
        return Duration.ofNanos((long) (terms.renew().toNanos() * share));
    }

    // ---- in office

    public boolean inOffice(Duration now) {
        return end != null && now.compareTo(end) < 0;
    }

    /** Since when it is in office without a gap. */
    public Duration since() {
        return since;
    }

    public long term() {
        return term;
    }

    /** What its next steps depend on, with spans from now: two that are alike go on alike. */
    String standing(Duration now) {
        return "v"
                + left(now, votesFrom)
                + " h"
                + highest
                + " p"
                + (free(now, null) ? "-" : promised + " " + left(now, promisedUntil))
                + (standing ? " s" + term + "." + round + " " + askedAt.minus(now) + votes : "")
                + (inOffice(now) ? " o" + left(now, end) + " " + since.minus(now) : "")
                + " a"
                + left(now, standAt);
    }

    private static Duration left(Duration now, Duration until) {
        return until.compareTo(now) <= 0 ? Duration.ZERO : until.minus(now);
    }
}
