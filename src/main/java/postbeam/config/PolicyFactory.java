package postbeam.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import postbeam.endpoints.PollSchedule;
import postbeam.model.Cluster;
import postbeam.model.QueryClass;
import postbeam.model.SideEffects;
import postbeam.model.Tenant;
import postbeam.policy.AdmissionControl;
import postbeam.policy.AttemptLimits;
import postbeam.policy.PolicyActions;
import postbeam.policy.RetryBudget;
import postbeam.policy.RoutingPolicy;
import postbeam.policy.SlowStart;

/**
 * Builds what the decisions need from the settings that an instance is told, for every door alike.
 */
public final class PolicyFactory {
    // ---- defaults where the settings are silent; each is the protocol's, none one deployment's
    /**
     * What a second run of a part does where no effect is told: the strictest, so that nothing runs
     * twice.
     */
    private static final SideEffects DEFAULT_SIDE_EFFECTS = SideEffects.NON_IDEMPOTENT;

    /** Worth of a whole answer: all classes' the same. */
    private static final double DEFAULT_UTILITY = 1;

    /**
     * Share of the worth that a late answer keeps, and that one not marked whole does: none is
     * promised.
     */
    private static final double DEFAULT_LATE_UTILITY = 0;

    private static final double DEFAULT_PARTIAL_UTILITY = 0;

    /**
     * Share of the weight that makes an answer whole: all of it. The least for any answer is then
     * that too.
     */
    private static final double DEFAULT_COMPLETE_FRACTION = 1;

    private PolicyFactory() {}

    public static Cluster fleet(InstanceSettings info) {
        return new Cluster(
                info.integerAtLeast("domain.cells", 1), info.integerAtLeast("domain.reach", 1));
    }

    public static Map<String, QueryClass> queryClasses(InstanceSettings info) {
        Map<String, QueryClass> verticals = new LinkedHashMap<>();
        for (int i = 0; i < info.objectCount("classes"); i++) {
            String path = "classes." + i + ".";
            verticals.put(info.required(path + "name"), queryClass(info, path, i));
        }
        return verticals;
    }

    private static QueryClass queryClass(InstanceSettings info, String path, int i) {
        String word = info.text(path + "effect");
        SideEffects effect =
                word == null
                        ? DEFAULT_SIDE_EFFECTS
                        : switch (word) {
                            case "retryable" -> SideEffects.IDEMPOTENT;
                            case "dedup" -> SideEffects.DEDUPLICATED;
                            case "fragile" -> SideEffects.NON_IDEMPOTENT;
                            default ->
                                    throw info.invalid(
                                            path + "effect",
                                            "must be retryable, dedup or fragile, not " + word);
                        };
        info.required(path + "promise");
        Double utility = info.number(path + "worth");
        Double late = info.number(path + "lateWorth");
        Double need = info.listEntry("domain.classNeed", i);
        Double floor = info.listEntry("domain.leastShare", i);
        Double shortUtility = info.listEntry("domain.shortWorth", i);
        Double followUp = info.listEntry("domain.followUp", i);
        double whole = need == null ? DEFAULT_COMPLETE_FRACTION : need;
        double least = floor == null ? whole : floor;
        QueryClass first =
                QueryClass.builder(info.duration(path + "promise"), effect)
                        .deduplicationWindow(info.duration(path + "repeatWindow"))
                        .utility(
                                utility == null ? DEFAULT_UTILITY : utility,
                                late == null ? DEFAULT_LATE_UTILITY : late)
                        .weights(whole, least)
                        .partialUtility(
                                shortUtility == null ? DEFAULT_PARTIAL_UTILITY : shortUtility)
                        .totalClientTimeout(info.duration(path + "deadline"))
                        .build();
        if (followUp == null || followUp < 1) {
            return first;
        }
        QueryClass second =
                first.toBuilder()
                        .weights(
                                DEFAULT_COMPLETE_FRACTION,
                                least < whole ? least : DEFAULT_COMPLETE_FRACTION)
                        .totalClientTimeout(null)
                        .build();
        return first.toBuilder().secondStep(second).build();
    }

    public static Map<String, Tenant> tenants(InstanceSettings info) {
        Map<String, Tenant> customers = new LinkedHashMap<>();
        for (int i = 0; i < info.objectCount("tenants"); i++) {
            customers.put(
                    info.required("tenants." + i + ".name"),
                    new Tenant(info.number("tenants." + i + ".quotaPerS")));
        }
        return customers;
    }

    public static RoutingPolicy routingPolicy(
            PolicyActions actions, Random chance, Cluster cluster, InstanceSettings info) {
        Integer routers = info.integer("nInstances");
        return new RoutingPolicy(
                actions,
                chance,
                cluster,
                new AdmissionControl(
                        info.integer("caps.mostHeld"),
                        routers,
                        info.number("overShareWorth"),
                        Boolean.FALSE.equals(info.flag("caps.retryAfter"))
                                ? null
                                : info.duration("caps.maxRetryAfter")),
                new AttemptLimits(
                        info.integer("caps.maxAttempts"),
                        info.flag("caps.mayDuplicate"),
                        info.flag("caps.cancelling"),
                        info.flag("caps.probes"),
                        info.integer("domain.partsACall")),
                new RetryBudget(
                        info.number("obligations.spareAttempts"),
                        info.number("obligations.budgetShare"),
                        info.duration("obligations.extraWindow")),
                new SlowStart(
                        info.number("obligations.coldFrom"),
                        info.duration("obligations.rampTime"),
                        info.number("obligations.fallMultiple"),
                        info.duration("obligations.fall"),
                        routers,
                        info.duration("domain.callCost"),
                        info.duration("caps.connectTimeout")));
    }

    /** Whether discovery has to be asked; without the setting it tells by itself. */
    public static PollSchedule pollSchedule(InstanceSettings info, Random chance) {
        String how = info.text("discovery");
        if (how != null && !how.equals("automatic") && !how.equals("subscribe")) {
            throw info.invalid("discovery", "must be automatic or subscribe, not " + how);
        }
        return new PollSchedule(
                "subscribe".equals(how), info.duration("obligations.askEvery"), chance);
    }
}
