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

/** The command that operators run, where no program but the virtual machine can be started. */
class RunScriptTest {
    @TempDir Path dir;

    /** The arguments that the virtual machine is started with; a stand-in prints them. */
    private String started(String config) throws IOException, InterruptedException {
        Path java = dir.resolve("java");
        Files.writeString(java, "#!/bin/sh\necho \"$@\"\n");
        Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
        Path told = Files.writeString(dir.resolve("config.json"), config);
        ProcessBuilder run =
                new ProcessBuilder("/bin/sh", "deploy/run.sh", "serve").redirectErrorStream(true);
        run.environment().put("PATH", dir.toString());
        run.environment().put("BALANCER_CONFIG", told.toString());
        Process process = run.start();
        String printed =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), printed);
        return printed;
    }

    @Test
    void heapFollowsTheConfiguredMemoryWithoutAnotherProgram() throws Exception {
        assertTrue(started("{\"limits\": {\"memory_mb\": 64}}").startsWith("-Xmx24m "));
        assertTrue(
                started("{\n\"limits\":\n{\"memory_mb\" :96,\"sockets\":256}}")
                        .startsWith("-Xmx36m "));
        assertTrue(started("{}").startsWith("-Xmx48m "));
    }

    @Test
    void socketsAreIpv4Only() throws Exception {
        assertTrue(started("{}").contains(" -Djava.net.preferIPv4Stack=true "));
    }
}
