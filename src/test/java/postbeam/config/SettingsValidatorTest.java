package postbeam.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import postbeam.json.Json;
import postbeam.model.QueryClass;
import postbeam.model.SideEffects;
import postbeam.router.Router;

/** Checks which settings a router rejects at startup and on reload, and which it must accept. */
class SettingsValidatorTest {
    /** Value that marks a settings member to be removed. */
    private static final Object ABSENT = new Object();

    private static final String[] EXAMPLES = {"deploy/example.json", "deploy/rehearsal.json"};

    @SuppressWarnings("unchecked")
    private static void set(Object target, String path, Object value) {
        String first = path.split("\\.", 2)[0];
        String rest = path.substring(Math.min(path.length(), first.length() + 1));
        if (target instanceof List<?> list) {
            set(list.get(Integer.parseInt(first)), rest, value);
        } else if (!rest.isEmpty()) {
            set(
                    ((Map<String, Object>) target)
                            .computeIfAbsent(first, name -> new LinkedHashMap<>()),
                    rest,
                    value);
        } else if (value == ABSENT) {
            ((Map<String, Object>) target).remove(first);
        } else {
            ((Map<String, Object>) target).put(first, value);
        }
    }

    /** Returns the rehearsal configuration with edits: path, value, path, value and so on. */
    private static RouterConfig configWith(Object... edits) throws IOException {
        Map<String, Object> document =
                Json.parseObject(Files.readAllBytes(Path.of("deploy/rehearsal.json")));
        for (int i = 0; i < edits.length; i += 2) {
            set(document, (String) edits[i], edits[i + 1]);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (var json = Json.FACTORY.createGenerator(bytes)) {
            Json.write(json, document);
        }
        return RouterConfig.parse(bytes.toByteArray());
    }

    /** Reports the failures of all cases together, so that one run shows each of them. */
    private static void assertRejected(Object[]... cases) throws IOException {
        List<String> failures = new ArrayList<>();
        for (Object[] rejected : cases) {
            String message = (String) rejected[0];
            Object[] edits = Arrays.copyOfRange(rejected, 1, rejected.length);
            try {
                new Router(configWith(edits));
                failures.add("not rejected: " + message);
            } catch (IOException | RuntimeException e) {
                if (!message.equals(e.getMessage())) {
                    failures.add("expected: " + message + "\n  actual: " + e);
                }
            }
        }
        assertTrue(failures.isEmpty(), String.join("\n", failures));
    }

    private static Object[] rejectedCase(Object... messageAndEdits) {
        return messageAndEdits;
    }

    @Test
    void unknownEffectIsRejected() throws IOException {
        assertRejected(
                rejectedCase(
                        "settings.classes.0.effect must be retryable, dedup or fragile, not safe",
                        "settings.classes.0.effect",
                        "safe"));
    }

    @Test
    void missingEffectDefaultsToNonIdempotent() throws IOException {
        Map<String, QueryClass> queryClasses =
                PolicyFactory.queryClasses(
                        configWith("settings.classes.0.effect", ABSENT).settings);
        assertEquals(SideEffects.NON_IDEMPOTENT, queryClasses.get("search").sideEffects);
    }

    @Test
    void durationsOutOfRangeAreRejected() throws IOException {
        List<Object[]> cases = new ArrayList<>();
        for (String path :
                new String[] {
                    "classes.0.promise",
                    "classes.1.deadline",
                    "caps.connectTimeout",
                    "caps.keepalive",
                    "obligations.fall",
                    "obligations.extraWindow"
                }) {
            for (Object value : new Object[] {-1, 0, 86_400_000_001L}) {
                cases.add(
                        rejectedCase(
                                "settings."
                                        + path
                                        + " must be above 0 and up to a day in microseconds, not "
                                        + value,
                                "settings." + path,
                                value));
            }
            cases.addAll(nonNumericCases("settings." + path));
        }
        for (Object value : new Object[] {-1, 366 * 86_400_000_000L + 1}) {
            cases.add(
                    rejectedCase(
                            "settings.classes.0.repeatWindow must be 0 or more and up to a year in"
                                    + " microseconds, not "
                                    + value,
                            "settings.classes.0.repeatWindow",
                            value));
        }
        cases.addAll(nonNumericCases("settings.classes.0.repeatWindow"));
        for (String path :
                new String[] {
                    "obligations.rampTime",
                    "obligations.stopSendingWithin",
                    "obligations.askEvery",
                    "caps.maxRetryAfter",
                    "domain.callCost"
                }) {
            for (Object value : new Object[] {-1, 86_400_000_001L}) {
                cases.add(
                        rejectedCase(
                                "settings."
                                        + path
                                        + " must be 0 or more and up to a day in microseconds, not "
                                        + value,
                                "settings." + path,
                                value));
            }
            cases.addAll(nonNumericCases("settings." + path));
        }
        assertRejected(cases.toArray(Object[][]::new));
    }

    private static List<Object[]> nonNumericCases(String key) {
        return List.of(
                rejectedCase(key + " is not a finite number: NaN", key, "NaN"),
                rejectedCase(key + " is not a finite number: Infinity", key, "Infinity"),
                rejectedCase(key + " is not a finite number: -Infinity", key, "-Infinity"),
                rejectedCase(key + " is not a number: soon", key, "soon"),
                rejectedCase(
                        key + " is too large for a duration in microseconds: 1.0E300", key, 1e300));
    }

    @Test
    void missingRequiredSettingsAreRejected() throws IOException {
        List<Object[]> cases = new ArrayList<>();
        for (String path :
                new String[] {
                    "classes.0.promise",
                    "classes.1.name",
                    "caps.connectTimeout",
                    "caps.keepalive",
                    "caps.maxStreams",
                    "domain.cells",
                    "domain.reach",
                    "domain.shards",
                    "domain.partsACall"
                }) {
            cases.add(rejectedCase("settings." + path + " is missing", "settings." + path, ABSENT));
        }
        cases.add(
                rejectedCase("settings.classes.0.name is missing", "settings.classes.0.name", ""));
        cases.add(
                rejectedCase(
                        "settings.classes must have at least one class",
                        "settings.classes",
                        List.of()));
        assertRejected(cases.toArray(Object[][]::new));
    }

    @Test
    void countsOutOfRangeAreRejected() throws IOException {
        List<Object[]> cases = new ArrayList<>();
        for (String path :
                new String[] {
                    "nInstances",
                    "caps.maxStreams",
                    "caps.mostHeld",
                    "domain.cells",
                    "domain.reach",
                    "domain.shards",
                    "domain.partsACall"
                }) {
            String key = "settings." + path;
            cases.add(rejectedCase(key + " must be 1 or more, not 0", key, 0));
            cases.add(rejectedCase(key + " must be 1 or more, not -3", key, -3));
            cases.add(
                    rejectedCase(
                            key + " must be from -2147483647 to 2147483647, not 4294967297",
                            key,
                            4_294_967_297L));
        }
        cases.add(
                rejectedCase(
                        "settings.caps.maxAttempts must be 0 or more, not -3",
                        "settings.caps.maxAttempts",
                        -3));
        cases.add(
                rejectedCase(
                        "settings.caps.maxAttempts must be from -2147483647 to 2147483647, not"
                                + " 4294967297",
                        "settings.caps.maxAttempts",
                        4_294_967_297L));
        cases.add(
                rejectedCase(
                        "settings.domain.cells must be 65536 or less, not 65537",
                        "settings.domain.cells",
                        65_537));
        assertRejected(cases.toArray(Object[][]::new));
    }

    @Test
    void limitsOutOfRangeAreRejected() throws IOException {
        assertRejected(
                rejectedCase("limits.sockets must be 128 or more, not 0", "limits.sockets", 0),
                rejectedCase(
                        "limits.sockets must be from -2147483647 to 2147483647, not 4294968320",
                        "limits.sockets",
                        4_294_968_320L),
                rejectedCase(
                        "limits.memory_mb must be 64 or more, not -192", "limits.memory_mb", -192),
                rejectedCase(
                        "limits.memory_mb must be 16777216 or less, not 400000000",
                        "limits.memory_mb",
                        400_000_000),
                rejectedCase(
                        "limits.memory_mb is not a finite number: NaN", "limits.memory_mb", "NaN"));
    }

    /** Guards against a value of another type being read as absent and replaced by defaults. */
    @Test
    void settingsOfTheWrongTypeAreRejected() throws IOException {
        assertRejected(
                rejectedCase("limits must be an object", "limits", 192),
                rejectedCase(
                        "settings.obligations must be an object", "settings.obligations", "usual"),
                rejectedCase(
                        "settings.obligations must be an object",
                        "settings.obligations",
                        List.of(Map.of("fall", 1000))),
                rejectedCase("settings.caps must be an object", "settings.caps", 3),
                rejectedCase("settings.domain must be an object", "settings.domain", List.of(1, 2)),
                rejectedCase(
                        "settings.classes must be a list of objects",
                        "settings.classes",
                        Map.of("name", "search")),
                rejectedCase(
                        "settings.classes must be a list of objects", "settings.classes", "search"),
                rejectedCase(
                        "settings.tenants must be a list of objects",
                        "settings.tenants",
                        Map.of("name", "acme")),
                rejectedCase(
                        "settings.tenants must be a list of objects",
                        "settings.tenants",
                        List.of("acme")));
    }

    @Test
    void slowStartAndRetryBudgetOutOfRangeAreRejected() throws IOException {
        assertRejected(
                rejectedCase(
                        "settings.obligations.coldFrom must be from 0 to 1, not -0.1",
                        "settings.obligations.coldFrom",
                        -0.1),
                rejectedCase(
                        "settings.obligations.coldFrom must be from 0 to 1, not 1.5",
                        "settings.obligations.coldFrom",
                        1.5),
                rejectedCase(
                        "settings.obligations.fallMultiple must be above 0, not 0",
                        "settings.obligations.fallMultiple",
                        0),
                rejectedCase(
                        "settings.obligations.fallMultiple must be above 0, not -2",
                        "settings.obligations.fallMultiple",
                        -2),
                rejectedCase(
                        "settings.obligations.budgetShare must be 0 or more, not -1",
                        "settings.obligations.budgetShare",
                        -1),
                rejectedCase(
                        "settings.obligations.spareAttempts must be 0 or more, not -1",
                        "settings.obligations.spareAttempts",
                        -1));
    }

    @Test
    void invalidListsOfClassFractionsAreRejected() throws IOException {
        List<Object[]> cases = new ArrayList<>();
        for (String path :
                new String[] {"settings.domain.classNeed", "settings.domain.leastShare"}) {
            for (Double bad : new Double[] {0.0, -0.5, 1.5}) {
                cases.add(
                        rejectedCase(
                                path
                                        + " must contain fractions above 0 and up to 1, not "
                                        + bad
                                        + " at entry 1 (counted from 0)",
                                path,
                                List.of(0.75, bad)));
            }
        }
        for (String path : new String[] {"classNeed", "leastShare", "shortWorth", "followUp"}) {
            String key = "settings.domain." + path;
            cases.add(
                    rejectedCase(
                            key + " must have an entry for each of the 2 classes, not 1",
                            key,
                            List.of(0.7)));
            cases.add(
                    rejectedCase(
                            key + " must have an entry for each of the 2 classes, not 3",
                            key,
                            List.of(0.7, 1, 1)));
            cases.add(rejectedCase(key + " is not a number: most", key, List.of("most", 1)));
        }
        cases.add(
                rejectedCase(
                        "settings.domain.leastShare must not be above domain.classNeed, but is 0.8"
                                + " at entry 0 (counted from 0), where domain.classNeed is"
                                + " 0.75",
                        "settings.domain.leastShare",
                        List.of(0.8, 1)));
        assertRejected(cases.toArray(Object[][]::new));
    }

    @Test
    void duplicateNamesAndNamesWithASlashAreRejected() throws IOException {
        assertRejected(
                rejectedCase(
                        "settings.classes.1.name must be unique, but an earlier entry has the same"
                                + " name: search",
                        "settings.classes.1.name",
                        "search"),
                rejectedCase(
                        "settings.classes.0.name must not contain /, as it is one segment of the"
                                + " request path, not a/b",
                        "settings.classes.0.name",
                        "a/b"),
                rejectedCase(
                        "settings.tenants.1.name must be unique, but an earlier entry has the same"
                                + " name: acme",
                        "settings.tenants",
                        List.of(Map.of("name", "acme"), Map.of("name", "acme"))));
    }

    @Test
    void invalidFlagsAreRejected() throws IOException {
        List<Object[]> cases = new ArrayList<>();
        for (String path : new String[] {"mayDuplicate", "cancelling", "probes", "retryAfter"}) {
            cases.add(
                    rejectedCase(
                            "settings.caps." + path + " must be true or false, not yes",
                            "settings.caps." + path,
                            "yes"));
            cases.add(
                    rejectedCase(
                            "settings.caps." + path + " must be true or false, not 2",
                            "settings.caps." + path,
                            2));
        }
        assertRejected(cases.toArray(Object[][]::new));
    }

    /**
     * Settings in the form that the simulator's protocol documents. No deployment uses these
     * settings.
     */
    @Test
    void validSettingsAreAccepted() throws IOException {
        InstanceSettings wire = new InstanceSettings();
        for (String pair :
                ("caps.cancelling=true caps.connectTimeout=250000 caps.cpuUsPerRequest=0.0"
                     + " caps.keepalive=15000000 caps.maxAttempts=3 caps.maxRetryAfter=0"
                     + " caps.maxStreams=32 caps.mayDuplicate=1 caps.mostHeld=36 caps.probes=0"
                     + " caps.retryAfter=false classes.count=2 classes.0.deadline=7500000"
                     + " classes.0.dedupScope=all classes.0.effect=retryable"
                     + " classes.0.lateWorth=0.1 classes.0.name=a.b_c-1 classes.0.promise=2500000.4"
                     + " classes.0.repeatWindow=5000000 classes.0.stream=false classes.0.worth=2.0"
                     + " classes.1.deadline=6000000 classes.1.effect=dedup classes.1.name=b"
                     + " classes.1.promise=6000000 classes.1.repeatWindow=0 domain.callCost=0"
                     + " domain.cells=9 domain.classNeed=0.7777777777777778,1.0 domain.followUp=0,3"
                     + " domain.leastShare=0.7777777777777779,1.0 domain.partsACall=1"
                     + " domain.reach=3 domain.shards=36 domain.shortWorth=0.9,0.9 nInstances=3"
                     + " obligations.askEvery=10000000 obligations.coldFrom=1"
                     + " obligations.fall=1000000 obligations.fallMultiple=0.5"
                     + " obligations.rampTime=0 obligations.stopSendingWithin=0"
                     + " obligations.spareAttempts=0 obligations.budgetShare=0 overShareWorth=0.2"
                     + " report.columns= report.how=none tenants.count=0 step=5000 "
                     + "a.member.of.tomorrow=-1e999")
                        .split(" ", -1)) {
            wire.putPair(pair);
        }
        SettingsValidator.validate(wire);
        for (String example : EXAMPLES) {
            SettingsValidator.validate(RouterConfig.read(example).settings);
        }
        for (String path :
                new String[] {
                    "classes.0.deadline",
                    "nInstances",
                    "caps.maxAttempts",
                    "caps.mostHeld",
                    "caps.mayDuplicate",
                    "caps.retryAfter",
                    "caps.maxRetryAfter",
                    "domain.classNeed",
                    "domain.leastShare",
                    "domain.shortWorth",
                    "domain.followUp",
                    "obligations",
                    "tenants",
                    "report",
                    "classes.0.effect"
                }) {
            try {
                SettingsValidator.validate(configWith("settings." + path, ABSENT).settings);
            } catch (IllegalArgumentException e) {
                fail(path + " may be absent: " + e.getMessage());
            }
        }
        InstanceSettings dedup = configWith("settings.classes.0.effect", "dedup").settings;
        assertNull(PolicyFactory.queryClasses(dedup).get("search").deduplicationWindow);
    }

    @Test
    void reloadOfInvalidSettingsIsRejectedAndTheRouterKeepsServing() throws Exception {
        Router router = new Router(configWith());
        router.start();
        try {
            RouterConfig bad =
                    configWith("discovery", "127.0.0.1:2", "settings.classes.0.deadline", -5);
            assertEquals(
                    "settings.classes.0.deadline must be above 0 and up to a day in microseconds,"
                            + " not -5",
                    assertThrows(IllegalArgumentException.class, () -> router.reload(bad))
                            .getMessage());
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create("http://" + router.address() + "/healthz")
                                    .toURL()
                                    .openConnection(Proxy.NO_PROXY);
            assertEquals(200, connection.getResponseCode());
            connection.disconnect();
        } finally {
            router.stop();
        }
    }

    @Test
    void absentSettingsHaveTheDefaultsOfTheProtocol() throws IOException {
        InstanceSettings settings =
                configWith(
                                "settings.classes.1.worth",
                                ABSENT,
                                "settings.classes.1.lateWorth",
                                ABSENT,
                                "settings.domain.classNeed",
                                ABSENT,
                                "settings.domain.leastShare",
                                ABSENT,
                                "settings.domain.shortWorth",
                                ABSENT)
                        .settings;
        QueryClass hold = PolicyFactory.queryClasses(settings).get("hold");
        assertEquals(
                List.of(1.0, 0.0, 1.0, 1.0, 0.0),
                List.of(
                        hold.utility,
                        hold.lateUtility,
                        hold.requiredWeight,
                        hold.minimumWeight,
                        hold.partialUtility));
        assertEquals(Duration.ofSeconds(6), hold.totalClientTimeout);
        assertNull(PolicyFactory.pollSchedule(settings, new Random(1)).nextPollAt());
    }
}
