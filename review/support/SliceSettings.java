import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Settings of an installation whose slices move, and the commands of its operator. */
final class SliceSettings {
    private SliceSettings() {}

    /**
     * Writes the settings file of the repository with the addresses of a case, four slices and two
     * holders of each.
     *
     * @param service where the layout service listens
     * @param followed where a router reaches it
     */
    static Path write(
            Rig rig, String name, String service, String followed, Rig.Discovery discovery)
            throws IOException {
        Path settings = rig.dir.resolve(name + ".json5");
        Files.writeString(
                settings,
                Files.readString(Rig.root().resolve("deploy/postbeam.json5"))
                        .replaceFirst(
                                "follow: \\{enabled: false, service: \"[^\"]*\"\\}",
                                "follow: {enabled: true, service: \"" + followed + "\"}")
                        .replaceFirst(
                                "enabled: false,\n      listen: \"[^\"]*\"",
                                "enabled: true,\n      listen: \"" + service + "\"")
                        .replace("\"moves.log\"", "\"" + rig.dir.resolve("moves.log") + "\"")
                        .replace("\"127.0.0.1:8500\"", "\"" + discovery.address() + "\"")
                        .replace("firstSlices: 64", "firstSlices: 4")
                        .replace("firstHolders: 3", "firstHolders: 2")
                        .replace("holders: 3", "holders: 2"));
        return settings;
    }

    /** Runs an operator's command and returns what it prints. */
    static String operator(Rig rig, Path settings, String command)
            throws IOException, InterruptedException {
        Process process =
                rig.start(
                        new ProcessBuilder(
                                        "/bin/sh",
                                        "-c",
                                        "exec sh deploy/run.sh layouts "
                                                + command
                                                + " --settings "
                                                + settings)
                                .directory(Rig.root().toFile())
                                .redirectErrorStream(true));
        String said =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        rig.note("operator: layouts " + command + ": status " + process.waitFor() + ": " + said);
        return said;
    }
}
