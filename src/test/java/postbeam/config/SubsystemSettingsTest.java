package postbeam.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SubsystemSettingsTest {
    private static final String VALID =
            "{\n  layouts: {\n    follow: {enabled: true, service: 'h:1'},\n  },\n}";

    private static String errorFor(String text) {
        return assertThrows(IOException.class, () -> SubsystemSettings.parse("f", text))
                .getMessage();
    }

    @Test
    void problemIsReportedWithLineKeyAndReason() throws IOException {
        assertEquals("h:1", SubsystemSettings.parse("f", VALID).text("layouts.follow.service"));
        assertEquals(
                "f: line 3: layouts.follow.enabeld: unknown key; did you mean enabled?",
                errorFor(VALID.replace("enabled: true", "enabled: true, enabeld: true")));
        assertEquals(
                "f: line 2: layuots: unknown key; did you mean layouts?",
                errorFor(VALID.replace("layouts", "layuots")));
        assertEquals(
                "f: line 3: layouts.follow.service: is missing",
                errorFor(VALID.replace(", service: 'h:1'", "")));
        assertEquals(
                "f: line 3: layouts.follow.enabled: string found, boolean expected",
                errorFor(VALID.replace("true", "'yes'")));
        assertEquals("f: line 5: ", errorFor(VALID.replace("'h:1'}", "'h:1'")).substring(0, 11));
        assertEquals("f: line 1: the settings must be an object", errorFor("[]"));
    }

    @Test
    void deployedFileIsValidAndEnablesNoSubsystem() throws IOException {
        InstanceSettings settings = SubsystemSettings.read(Path.of("deploy/postbeam.json5"));
        assertEquals(false, settings.flag("layouts.follow.enabled"));
        assertEquals(false, settings.flag("layouts.serve.enabled"));
        assertEquals(false, settings.flag("pages.enabled"));
        assertEquals(false, settings.flag("together.enabled"));
        assertEquals(true, Files.exists(Path.of("deploy/postbeam.json5")));
    }
}
