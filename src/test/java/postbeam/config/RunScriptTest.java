package postbeam.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the start script with a search path that has no program but the virtual machine. */
class RunScriptTest {
    @TempDir Path dir;

    /**
     * Returns the arguments that the start script passes to a script that replaces {@code java}.
     */
    private String javaArguments(String config) throws IOException, InterruptedException {
        Path java = dir.resolve("java");
        Files.writeString(java, "#!/bin/sh\necho \"$@\"\n");
        Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
        Path configFile = Files.writeString(dir.resolve("config.json"), config);
        ProcessBuilder run =
                new ProcessBuilder("/bin/sh", "deploy/run.sh", "serve").redirectErrorStream(true);
        run.environment().put("PATH", dir.toString());
        run.environment().put("BALANCER_CONFIG", configFile.toString());
        Process process = run.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        return output;
    }

    @Test
    void heapSizeIsDerivedFromConfiguredMemoryWithoutOtherPrograms() throws Exception {
        assertTrue(javaArguments("{\"limits\": {\"memory_mb\": 64}}").startsWith("-Xmx24m "));
        assertTrue(
                javaArguments("{\n\"limits\":\n{\"memory_mb\" :96,\"sockets\":256}}")
                        .startsWith("-Xmx36m "));
        assertTrue(javaArguments("{}").startsWith("-Xmx48m "));
    }

    @Test
    void javaIsStartedWithIpv4SocketsOnly() throws Exception {
        assertTrue(javaArguments("{}").contains(" -Djava.net.preferIPv4Stack=true "));
    }

    /**
     * Guards against a router that answers nothing and ignores SIGTERM after it ran out of heap.
     */
    @Test
    void routerEndsWhenItsHeapIsExhausted() throws Exception {
        assertTrue(javaArguments("{}").contains(" -XX:+ExitOnOutOfMemoryError "));
    }
}
