package postbeam.setup;

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
import postbeam.discovery.ListForm;
import postbeam.roster.Entry;
import postbeam.samples.SampleFile;
import postbeam.state.Customer;
import postbeam.state.Effect;
import postbeam.state.Readiness;
import postbeam.state.Vertical;

/** A configuration and our own settings with each section, as an earlier build read them. */
class ConfigurationSamplesTest {
    private static Startup configuration() throws IOException {
        return Startup.of(SampleFile.bytes("config/configuration.json"));
    }

    /** All that is told, a path=value a line. */
    private static byte[] pairs(Info info) {
        return info.changed(new Info()).stream()
                .map(path -> path.replaceFirst("^settings\\.", ""))
                .map(path -> path + "=" + info.text(path) + "\n")
                .collect(Collectors.joining())
                .getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void configurationIsReadIntoThePairsOfTheSample() throws IOException {
        SampleFile.assertSame("config/configuration-settings.txt", pairs(configuration().settings));
    }

    @Test
    void pairsOfTheSimulatorsWireAreReadAlike() throws IOException {
        Info wire = new Info();
        SampleFile.text("config/configuration-settings.txt").lines().forEach(wire::put);
        assertEquals(List.of(), wire.changed(configuration().settings));
        Checks.settings(wire);
    }

    @Test
    void configurationIsWrittenAsTheSample() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (var json = Json.FACTORY.createGenerator(bytes)) {
            Json.write(json, Json.object(SampleFile.bytes("config/configuration.json")));
        }
        SampleFile.assertSame("config/configuration-written.json", bytes.toByteArray());
    }

    @Test
    void eachSectionOfTheConfigurationIsUsed() throws IOException {
        Startup startup = configuration();
        Checks.settings(startup.settings);
        assertEquals("127.0.0.1:7070", startup.address("listen"));
        assertEquals("127.0.0.1:8500", startup.address("discovery"));
        assertEquals(0x8c1f30d27a5be964L, startup.seed());
        assertEquals(128, startup.limit("memory_mb", 64));
        assertEquals(512, startup.limit("sockets", 128));
        assertEquals(
                new Entry("s-1", "a", 0, 0, Readiness.READY),
                ListForm.read(startup.known(), 9).entries().get(0));
    }

    @Test
    void classesAndTenantsOfTheConfigurationAreUsed() throws IOException {
        Info settings = configuration().settings;
        Map<String, Vertical> classes = Assembly.verticals(settings);
        Vertical search = classes.get("search");
        assertEquals(Effect.REPEATABLE, search.effect);
        assertEquals(Duration.ofMillis(2500), search.sloTime);
        assertEquals(Duration.ofMillis(7500), search.allWait);
        assertEquals(0.1, search.lateUtility);
        assertEquals(0.75, search.need);
        assertEquals(0.5, search.floor);
        assertEquals(0.9, search.shortUtility);
        assertEquals(2, search.utility);
        assertEquals(Effect.DEDUPLICATED, classes.get("book").effect);
        assertEquals(Duration.ofSeconds(5), classes.get("book").repeatWindow);
        assertEquals(Effect.SIDE_EFFECTING, classes.get("hold").effect);
        Map<String, Customer> tenants = Assembly.customers(settings);
        assertEquals("[acme, bolt]", tenants.keySet().toString());
        assertEquals(0, Assembly.asking(settings, new Random(1)).at().toMillis());
    }

    @Test
    void ownSettingsAreReadIntoThePairsOfTheSample() throws IOException {
        SampleFile.assertSame(
                "config/settings.txt",
                pairs(
                        OwnSettings.read(
                                Path.of("src/test/resources/samples/config/settings.json5"))));
    }
}
