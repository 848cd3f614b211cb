package postbeam.setup;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import postbeam.Decide;
import postbeam.Host;
import postbeam.roster.DiscoveryPacing;
import postbeam.state.Customer;
import postbeam.state.Effect;
import postbeam.state.Fleet;
import postbeam.state.Vertical;

/**
 * Builds what the decisions need from the settings that an instance is told, for every door alike.
 */
public final class Assembly {
    // ---- defaults where the settings are silent; each is the protocol's, none one deployment's
    /**
     * What a second run of a part does where no effect is told: the strictest, so that nothing runs
     * twice.
     */
    private static final Effect EFFECT = Effect.SIDE_EFFECTING;

    /** Worth of a whole answer: all classes' the same. */
    private static final double WORTH = 1;

    /**
     * Share of the worth that a late answer keeps, and that one not marked whole does: none is
     * promised.
     */
    private static final double LATE_WORTH = 0;

    private static final double SHORT_WORTH = 0;

    /**
     * Share of the weight that makes an answer whole: all of it. The least for any answer is then
     * that too.
     */
    private static final double NEED = 1;

    private Assembly() {}

    public static Fleet fleet(Info info) {
        return new Fleet(info.atLeast("domain.cells", 1), info.atLeast("domain.reach", 1));
    }

    public static Map<String, Vertical> verticals(Info info) {
        Map<String, Vertical> verticals = new LinkedHashMap<>();
        for (int i = 0; i < info.count("classes"); i++) {
            String path = "classes." + i + ".";
            verticals.put(info.needed(path + "name"), vertical(info, path, i));
        }
        return verticals;
    }

    private static Vertical vertical(Info info, String path, int i) {
        String word = info.text(path + "effect");
        Effect effect =
                word == null
                        ? EFFECT
                        : switch (word) {
                            case "retryable" -> Effect.REPEATABLE;
                            case "dedup" -> Effect.DEDUPLICATED;
                            case "fragile" -> Effect.SIDE_EFFECTING;
                            default ->
                                    throw info.bad(
                                            path + "effect",
                                            "must be retryable, dedup or fragile, not " + word);
                        };
        info.needed(path + "promise");
        Double utility = info.number(path + "worth");
        Double late = info.number(path + "lateWorth");
        Double need = info.listed("domain.classNeed", i);
        Double floor = info.listed("domain.leastShare", i);
        Double shortUtility = info.listed("domain.shortWorth", i);
        Double followUp = info.listed("domain.followUp", i);
        double whole = need == null ? NEED : need;
        double least = floor == null ? whole : floor;
        Vertical one =
                new Vertical(
                        info.span(path + "promise"),
                        effect,
                        info.span(path + "repeatWindow"),
                        utility == null ? WORTH : utility,
                        late == null ? LATE_WORTH : late,
                        whole,
                        least,
                        shortUtility == null ? SHORT_WORTH : shortUtility);
        one.allWait = info.span(path + "deadline");
        return followUp == null || followUp < 1
                ? one
                : one.followedBy(
                        new Vertical(
                                one.sloTime,
                                effect,
                                one.repeatWindow,
                                one.utility,
                                one.lateUtility,
                                NEED,
                                least < whole ? least : NEED,
                                one.shortUtility));
    }

    public static Map<String, Customer> customers(Info info) {
        Map<String, Customer> customers = new LinkedHashMap<>();
        for (int i = 0; i < info.count("tenants"); i++) {
            customers.put(
                    info.needed("tenants." + i + ".name"),
                    new Customer(info.number("tenants." + i + ".quotaPerS")));
        }
        return customers;
    }

    public static Decide decide(Host host, Random chance, Fleet fleet, Info info) {
        Integer routers = info.whole("nInstances");
        return new Decide(
                host,
                chance,
                fleet,
                new Decide.Held(
                        info.whole("caps.mostHeld"),
                        routers,
                        info.number("overShareWorth"),
                        Boolean.FALSE.equals(info.flag("caps.retryAfter"))
                                ? null
                                : info.span("caps.maxRetryAfter")),
                new Decide.Calls(
                        info.whole("caps.maxAttempts"),
                        info.flag("caps.mayDuplicate"),
                        info.flag("caps.cancelling"),
                        info.flag("caps.probes"),
                        info.whole("domain.partsACall")),
                new Decide.FurtherCalls(
                        info.number("obligations.spareAttempts"),
                        info.number("obligations.budgetShare"),
                        info.span("obligations.extraWindow")),
                new Decide.ColdPacing(
                        info.number("obligations.coldFrom"),
                        info.span("obligations.rampTime"),
                        info.number("obligations.fallMultiple"),
                        info.span("obligations.fall"),
                        routers,
                        info.span("domain.callCost"),
                        info.span("caps.connectTimeout")));
    }

    /** Whether discovery has to be asked; without the setting it tells by itself. */
    public static DiscoveryPacing asking(Info info, Random chance) {
        String how = info.text("discovery");
        if (how != null && !how.equals("automatic") && !how.equals("subscribe")) {
            throw info.bad("discovery", "must be automatic or subscribe, not " + how);
        }
        return new DiscoveryPacing(
                "subscribe".equals(how), info.span("obligations.askEvery"), chance);
    }
}
