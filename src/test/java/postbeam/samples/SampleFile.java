package postbeam.samples;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Bytes of a wire or file format as an earlier build wrote or read them, kept under
 * src/test/resources/samples.
 */
public final class SampleFile {
    private static final Path ROOT = Path.of("src/test/resources/samples");

    private SampleFile() {}

    public static byte[] bytes(String name) throws IOException {
        return Files.readAllBytes(ROOT.resolve(name));
    }

    public static String text(String name) throws IOException {
        return new String(bytes(name), StandardCharsets.UTF_8);
    }

    /** The lines of a text, without their ends. */
    public static List<String> lines(String name) throws IOException {
        return text(name).lines().toList();
    }

    /** Compares byte for byte; each byte is shown as one character where they differ. */
    public static void assertSame(String name, byte[] written) throws IOException {
        assertEquals(
                new String(bytes(name), StandardCharsets.ISO_8859_1),
                new String(written, StandardCharsets.ISO_8859_1),
                name);
    }
}
