package postbeam.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import postbeam.discovery.EndpointListCodec;
import postbeam.endpoints.Endpoint;
import postbeam.json.Json;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;
import postbeam.model.SideEffects;
import postbeam.model.Tenant;
import postbeam.samples.SampleFile;

/**
 * Compares a configuration file and a settings file that have every section with recorded samples.
 * Guards against a change in how existing files are read.
 */
class ConfigurationSamplesTest {
    private static RouterConfig configuration() throws IOException {
        return RouterConfig.parse(SampleFile.bytes("config/configuration.json"));
    }

    /** Returns the settings as lines of the form path=value, sorted by path. */
    private static byte[] pairs(InstanceSettings settings) {
        return settings.changedPaths(new InstanceSettings()).stream()
                .map(path -> path.replaceFirst("^settings\\.", ""))
                .map(path -> path + "=" + settings.text(path) + "\n")
                .collect(Collectors.joining())
                .getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void configurationIsFlattenedToTheRecordedPairs() throws IOException {
        SampleFile.assertSame("config/configuration-settings.txt", pairs(configuration().settings));
    }

    @Test
    void pairsFromTheSimulatorAreReadLikeTheConfiguration() throws IOException {
        InstanceSettings wire = new InstanceSettings();
        SampleFile.text("config/configuration-settings.txt").lines().forEach(wire::putPair);
        assertEquals(List.of(), wire.changedPaths(configuration().settings));
        SettingsValidator.validate(wire);
    }

    @Test
    void configurationIsWrittenAsRecorded() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (var json = Json.FACTORY.createGenerator(bytes)) {
            Json.write(json, Json.parseObject(SampleFile.bytes("config/configuration.json")));
        }
        SampleFile.assertSame("config/configuration-written.json", bytes.toByteArray());
    }

    @Test
    void everySectionOfTheConfigurationIsRead() throws IOException {
        RouterConfig config = configuration();
        SettingsValidator.validate(config.settings);
        assertEquals("127.0.0.1:7070", config.address("listen"));
        assertEquals("127.0.0.1:8500", config.address("discovery"));
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(128, config.limit("memory_mb", 64));
        assertEquals(512, config.limit("sockets", 128));
        assertEquals(
                new Endpoint("s-1", "a", 0, 0, Readiness.READY),
                EndpointListCodec.decode(config.initialEndpointList().orElseThrow(), 9)
                        .endpoints()
                        .get(0));
    }

    @Test
    void queryClassesAndTenantsOfTheConfigurationAreRead() throws IOException {
        InstanceSettings settings = configuration().settings;
        Map<String, QueryClass> classes = PolicyFactory.queryClasses(settings);
        QueryClass search = classes.get("search");
        assertEquals(SideEffects.IDEMPOTENT, search.sideEffects);
        assertEquals(Duration.ofMillis(2500), search.latencyObjective);
        assertEquals(Duration.ofMillis(7500), search.totalClientTimeout);
        assertEquals(0.1, search.lateUtility);
        assertEquals(0.75, search.requiredWeight);
        assertEquals(0.5, search.minimumWeight);
        assertEquals(0.9, search.partialUtility);
        assertEquals(2, search.utility);
        assertEquals(SideEffects.DEDUPLICATED, classes.get("book").sideEffects);
        assertEquals(Duration.ofSeconds(5), classes.get("book").deduplicationWindow);
        assertEquals(SideEffects.NON_IDEMPOTENT, classes.get("hold").sideEffects);
        Map<String, Tenant> tenants = PolicyFactory.tenants(settings);
        assertEquals("[acme, bolt]", tenants.keySet().toString());
        assertEquals(
                0, PolicyFactory.pollSchedule(settings, new Random(1)).nextPollAt().toMillis());
    }

    @Test
    void subsystemSettingsAreFlattenedToTheRecordedPairs() throws IOException {
        SampleFile.assertSame(
                "config/settings.txt",
                pairs(
                        SubsystemSettings.read(
                                Path.of("src/test/resources/samples/config/settings.json5"))));
    }
}
