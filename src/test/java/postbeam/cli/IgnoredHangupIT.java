package postbeam.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts the built program with SIGHUP ignored, as by {@code nohup}, and with its default. */
@Timeout(60)
class IgnoredHangupIT {
    private static final String WARNING = "SIGHUP is ignored";

    @TempDir private Path dir;

    /** Starts the program, and returns its output up to the line with the address it serves at. */
    private String start(String signalOption) throws Exception {
        String config =
                Files.readString(Path.of("deploy/example.json"))
                        .replace("127.0.0.1:7070", "127.0.0.1:0");
        Process program =
                new ProcessBuilder(
                                "env",
                                signalOption,
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-jar",
                                "target/postbeam.jar",
                                "serve",
                                "--config",
                                Files.writeString(dir.resolve("config.json"), config).toString())
                        .redirectErrorStream(true)
                        .start();
        try (BufferedReader out = program.inputReader()) {
            StringBuilder output = new StringBuilder();
            String line;
            while ((line = out.readLine()) != null && !line.contains(" serves at ")) {
                output.append(line).append('\n');
            }
            return output.append(line).toString();
        } finally {
            program.destroyForcibly().waitFor();
        }
    }

    /** Guards against a router that never reloads its configuration and does not log why. */
    @Test
    void routerStartedWithSighupIgnoredLogsAWarning() throws Exception {
        String output = start("--ignore-signal=HUP");
        assertTrue(output.contains(WARNING), output);
    }

    @Test
    void routerStartedWithDefaultSighupLogsNoWarning() throws Exception {
        String output = start("--default-signal=HUP");
        assertFalse(output.contains(WARNING), output);
        assertTrue(output.contains(" serves at "), output);
    }
}
