package postbeam.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SubsystemSettingsTest {
    private static final String SOUND =
            "{\n  layouts: {\n    follow: {enabled: true, service: 'h:1'},\n  },\n}";

    private static String wrong(String text) {
        return assertThrows(IOException.class, () -> SubsystemSettings.parse("f", text))
                .getMessage();
    }

    @Test
    void problemIsReportedWithLineKeyAndReason() throws IOException {
        assertEquals("h:1", SubsystemSettings.parse("f", SOUND).text("layouts.follow.service"));
        assertEquals(
                "f: line 3: layouts.follow.enabeld: unknown key; enabled is known",
                wrong(SOUND.replace("enabled: true", "enabled: true, enabeld: true")));
        assertEquals(
                "f: line 2: layuots: unknown key; layouts is known",
                wrong(SOUND.replace("layouts", "layuots")));
        assertEquals(
                "f: line 3: layouts.follow.service: is missing",
                wrong(SOUND.replace(", service: 'h:1'", "")));
        assertEquals(
                "f: line 3: layouts.follow.enabled: string found, boolean expected",
                wrong(SOUND.replace("true", "'yes'")));
        assertEquals("f: line 5: ", wrong(SOUND.replace("'h:1'}", "'h:1'")).substring(0, 11));
        assertEquals("f: line 1: not an object", wrong("[]"));
    }

    @Test
    void deployedFileIsValidAndEnablesNothing() throws IOException {
        InstanceSettings own = SubsystemSettings.read(Path.of("deploy/postbeam.json5"));
        assertEquals(false, own.flag("layouts.follow.enabled"));
        assertEquals(false, own.flag("layouts.serve.enabled"));
        assertEquals(false, own.flag("pages.enabled"));
        assertEquals(false, own.flag("together.enabled"));
        assertEquals(true, Files.exists(Path.of("deploy/postbeam.json5")));
    }
}
