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
 * Builds the routing policy, and the query classes, tenants and cluster that it works on, from the
 * settings. The serving router and the simulated router both use it, so that they decide alike.
 *
 * <p>All methods throw {@link InvalidSettingException} for a setting that can't be used.
 */
public final class PolicyFactory {
    // Defaults of absent settings. The simulator's protocol defines them; none is taken from a
    // particular deployment.

    /**
     * Default side effects of a query class: the strictest value, so that no shard request is
     * executed twice.
     */
    private static final SideEffects DEFAULT_SIDE_EFFECTS = SideEffects.NON_IDEMPOTENT;

    /** Default utility of a complete answer in time, the same for all query classes. */
    private static final double DEFAULT_UTILITY = 1;

    /** Default fraction of an answer's utility that remains if the answer is late. */
    private static final double DEFAULT_LATE_UTILITY = 0;

    /** Default fraction of an answer's utility that remains if the answer is partial. */
    private static final double DEFAULT_PARTIAL_UTILITY = 0;

    /**
     * Fraction of the total weight that makes an answer complete; also the minimum for a partial
     * answer, unless that is set.
     */
    private static final double DEFAULT_COMPLETE_FRACTION = 1;

    private PolicyFactory() {}

    /**
     * Creates a cluster without nodes: the number of cells, and how many of them hold each shard.
     */
    public static Cluster cluster(InstanceSettings settings) {
        return new Cluster(
                settings.integerAtLeast("domain.cells", 1),
                settings.integerAtLeast("domain.reach", 1));
    }

    /** Returns the query classes by name, in the order of the settings. */
    public static Map<String, QueryClass> queryClasses(InstanceSettings settings) {
        Map<String, QueryClass> classes = new LinkedHashMap<>();
        for (int i = 0; i < settings.objectCount("classes"); i++) {
            String name = settings.required("classes." + i + ".name");
            classes.put(name, queryClass(settings, i));
        }
        return classes;
    }

    private static QueryClass queryClass(InstanceSettings settings, int index) {
        String prefix = "classes." + index + ".";
        SideEffects sideEffects = sideEffects(settings, prefix + "effect");
        settings.required(prefix + "promise");
        double complete =
                orDefault(settings.listEntry("domain.classNeed", index), DEFAULT_COMPLETE_FRACTION);
        double minimum = orDefault(settings.listEntry("domain.leastShare", index), complete);
        double lateUtility = orDefault(settings.number(prefix + "lateWorth"), DEFAULT_LATE_UTILITY);
        double partialUtility =
                orDefault(settings.listEntry("domain.shortWorth", index), DEFAULT_PARTIAL_UTILITY);
        QueryClass first =
                QueryClass.builder(settings.duration(prefix + "promise"), sideEffects)
                        .deduplicationWindow(settings.duration(prefix + "repeatWindow"))
                        .utility(
                                orDefault(settings.number(prefix + "worth"), DEFAULT_UTILITY),
                                lateUtility)
                        .weights(complete, minimum)
                        .partialUtility(partialUtility)
                        .totalClientTimeout(settings.duration(prefix + "deadline"))
                        .build();
        boolean hasSecondStep = orDefault(settings.listEntry("domain.followUp", index), 0) >= 1;
        return hasSecondStep ? withSecondStep(first, complete, minimum) : first;
    }

    /** Returns the class with a second step, which needs all of its parts to be complete. */
    private static QueryClass withSecondStep(QueryClass first, double complete, double minimum) {
        QueryClass second =
                first.toBuilder()
                        .weights(
                                DEFAULT_COMPLETE_FRACTION,
                                minimum < complete ? minimum : DEFAULT_COMPLETE_FRACTION)
                        .totalClientTimeout(null)
                        .build();
        return first.toBuilder().secondStep(second).build();
    }

    private static SideEffects sideEffects(InstanceSettings settings, String path) {
        String value = settings.text(path);
        if (value == null) {
            return DEFAULT_SIDE_EFFECTS;
        }
        return switch (value) {
            case "retryable" -> SideEffects.IDEMPOTENT;
            case "dedup" -> SideEffects.DEDUPLICATED;
            case "fragile" -> SideEffects.NON_IDEMPOTENT;
            default ->
                    throw settings.invalid(
                            path, "must be retryable, dedup or fragile, not " + value);
        };
    }

    private static double orDefault(Double value, double defaultValue) {
        return value == null ? defaultValue : value;
    }

    /** Returns the tenants by name, in the order of the settings. */
    public static Map<String, Tenant> tenants(InstanceSettings settings) {
        Map<String, Tenant> tenants = new LinkedHashMap<>();
        for (int i = 0; i < settings.objectCount("tenants"); i++) {
            String prefix = "tenants." + i + ".";
            tenants.put(
                    settings.required(prefix + "name"),
                    new Tenant(settings.number(prefix + "quotaPerS")));
        }
        return tenants;
    }

    /**
     * Creates the routing policy.
     *
     * @param actions carries out the policy's decisions
     * @param random source of the policy's random numbers
     */
    public static RoutingPolicy routingPolicy(
            PolicyActions actions, Random random, Cluster cluster, InstanceSettings settings) {
        Integer routers = settings.integer("nInstances");
        return new RoutingPolicy(
                actions,
                random,
                cluster,
                new AdmissionControl(
                        settings.integer("caps.mostHeld"),
                        routers,
                        settings.number("overShareWorth"),
                        Boolean.FALSE.equals(settings.flag("caps.retryAfter"))
                                ? null
                                : settings.duration("caps.maxRetryAfter")),
                new AttemptLimits(
                        settings.integer("caps.maxAttempts"),
                        settings.flag("caps.mayDuplicate"),
                        settings.flag("caps.cancelling"),
                        settings.flag("caps.probes"),
                        settings.integer("domain.partsACall")),
                new RetryBudget(
                        settings.number("obligations.spareAttempts"),
                        settings.number("obligations.budgetShare"),
                        settings.duration("obligations.extraWindow")),
                new SlowStart(
                        settings.number("obligations.coldFrom"),
                        settings.duration("obligations.rampTime"),
                        settings.number("obligations.fallMultiple"),
                        settings.duration("obligations.fall"),
                        routers,
                        settings.duration("domain.callCost"),
                        settings.duration("caps.connectTimeout")));
    }

    /**
     * Creates the schedule for polling discovery. The schedule never polls in the default mode, in
     * which discovery sends updates without being polled.
     */
    public static PollSchedule pollSchedule(InstanceSettings settings, Random random) {
        String mode = settings.text("discovery");
        if (mode != null && !mode.equals("automatic") && !mode.equals("subscribe")) {
            throw settings.invalid("discovery", "must be automatic or subscribe, not " + mode);
        }
        return new PollSchedule(
                "subscribe".equals(mode), settings.duration("obligations.askEvery"), random);
    }
}
