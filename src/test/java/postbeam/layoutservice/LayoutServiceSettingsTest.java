package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import postbeam.config.SubsystemSettings;

/** Checks that wrong limits of migrations in the settings file are rejected. */
class LayoutServiceSettingsTest {
    @TempDir private Path dir;

    private LayoutService.Config read(String text) throws IOException {
        return LayoutServiceSettings.read(
                SubsystemSettings.read(Files.writeString(dir.resolve("settings.json5"), text)));
    }

    private static String deployedSettings() throws IOException {
        return Files.readString(Path.of("deploy/postbeam.json5"));
    }

    private void assertRejected(String name, String text) throws IOException {
        assertNotEquals(deployedSettings(), text);
        IOException e = assertThrows(IOException.class, () -> read(text));
        assertTrue(e.getMessage().contains(name), e.getMessage());
    }

    /** Guards against a NullPointerException if a number is missing. */
    @ParameterizedTest
    @ValueSource(strings = {"leastUtility", "finestKeys", "bytesASecond"})
    void missingNumberIsRejectedWithItsName(String name) throws IOException {
        assertRejected(name, deployedSettings().replaceAll("(?m)^ *" + name + ": .*$", ""));
    }

    /** Guards against an endless split of a range that has a single key. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "-1", "0.5"})
    void finestKeysBelowOneOrFractionalIsRejected(String keys) throws IOException {
        assertRejected(
                "finestKeys",
                deployedSettings().replaceAll("finestKeys: [0-9]+", "finestKeys: " + keys));
    }
}
