package postbeam.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RouterConfigTest {
    @TempDir private Path dir;

    private RouterConfig read(String json) throws IOException {
        return RouterConfig.read(Files.writeString(dir.resolve("config.json"), json).toString());
    }

    private static void assertMessageContains(String key, Exception e) {
        assertTrue(String.valueOf(e.getMessage()).contains(key), e.getMessage());
    }

    @Test
    void nestedSettingsAreReadByPath() throws IOException {
        InstanceSettings settings =
                read("{\"settings\":{\"domain\":{\"cells\":9,\"classNeed\":[0.5,1]},"
                         + "\"classes\":[{\"name\":\"a\",\"promise\":2000000},{\"name\":\"b\"}],\"caps\":{\"probes\":true}}}")
                        .settings;
        assertEquals(9, settings.integer("domain.cells"));
        assertEquals(1.0, settings.listEntry("domain.classNeed", 1));
        assertEquals(2, settings.objectCount("classes"));
        assertEquals(Duration.ofSeconds(2), settings.duration("classes.0.promise"));
        assertEquals(true, settings.flag("caps.probes"));
        assertNull(settings.text("classes.1.promise"));
    }

    @Test
    void missingLimitHasTheDefaultValue() throws IOException {
        assertEquals(192, read("{\"settings\":{}}").limit("memory_mb", 64));
        assertEquals(
                2048,
                read("{\"settings\":{},\"limits\":{\"memory_mb\":2048}}").limit("memory_mb", 64));
    }

    @Test
    void invalidMemberIsNamedInTheMessage() throws IOException {
        assertMessageContains("settings", assertThrows(IOException.class, () -> read("{}")));
        assertMessageContains(
                "seed",
                assertThrows(
                        IllegalArgumentException.class,
                        () -> read("{\"settings\":{},\"seed\":\"x\"}").seed()));
        assertMessageContains(
                "listen",
                assertThrows(
                        IllegalArgumentException.class,
                        () -> read("{\"settings\":{},\"listen\":\"here\"}").address("listen")));
        assertMessageContains(
                "listen",
                assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                read("{\"settings\":{},\"listen\":\"127.0.0.1:70000\"}")
                                        .address("listen")));
        assertMessageContains(
                "limits.sockets",
                assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                read("{\"settings\":{},\"limits\":{\"sockets\":3}}")
                                        .limit("sockets", 128)));
        assertMessageContains(
                "settings.domain.cells",
                assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                PolicyFactory.cluster(
                                        read("{\"settings\":{\"domain\":{\"cells\":\"nine\",\"reach\":1}}}")
                                                .settings)));
        assertMessageContains(
                "settings.domain.reach",
                assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                PolicyFactory.cluster(
                                        read("{\"settings\":{\"domain\":{\"cells\":9}}}")
                                                .settings)));
    }

    @Test
    void missingOrMalformedFileIsRejected() {
        assertMessageContains(
                "read",
                assertThrows(
                        IOException.class,
                        () -> RouterConfig.read(dir.resolve("none").toString())));
        assertThrows(IOException.class, () -> read("{\"settings\":{}"));
        assertThrows(IOException.class, () -> read("{\"settings\":{}} {}"));
        assertThrows(IllegalArgumentException.class, () -> RouterConfig.read(null));
    }

    @Test
    void unknownDiscoveryModeIsRejected() throws IOException {
        RouterConfig invalid = read("{\"settings\":{\"discovery\":\"pull\"}}");
        assertMessageContains(
                "settings.discovery",
                assertThrows(
                        IllegalArgumentException.class,
                        () -> PolicyFactory.pollSchedule(invalid.settings, new Random(1))));
        assertNull(
                PolicyFactory.pollSchedule(read("{\"settings\":{}}").settings, new Random(1))
                        .nextPollAt());
    }

    /** Lists of large fleets, kept as paths and values, filled the heap of a router. */
    @Test
    void endpointListIsKeptOnlyUntilItIsRead() throws IOException {
        String list = "{\"seq\":41,\"whole\":true,\"hosts\":[{\"host\":\"s-1\"}]}";
        RouterConfig config =
                RouterConfig.parse(
                        ("{\"name\":\"n0\",\"settings\":{},\"known\":" + list + "}")
                                .getBytes(StandardCharsets.UTF_8));
        assertEquals(41, config.initialEndpointList().orElseThrow().get("seq"));
        assertFalse(config.members.isPresent("known"));
        assertTrue(config.withoutEndpointList().initialEndpointList().isEmpty());
        assertEquals("n0", config.withoutEndpointList().members.text("name"));
    }
}
