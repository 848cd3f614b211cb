package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Reads the recorded files with stored data and messages of earlier versions, from {@code
 * samples/layoutservice}.
 */
final class Samples {
    private Samples() {}

    static byte[] bytes(String name) {
        try (InputStream in = Samples.class.getResourceAsStream("/samples/layoutservice/" + name)) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static List<String> lines(String name) {
        return new String(bytes(name), StandardCharsets.UTF_8).lines().toList();
    }

    /** Compares all lines with those of a recorded file. */
    static void assertSameLines(String name, List<String> actual) {
        assertEquals(String.join("\n", lines(name)), String.join("\n", actual));
    }

    static void assertSameBytes(String name, byte[] actual) {
        // The texts are compared before the bytes, so that a failure shows a readable message.
        assertEquals(
                new String(bytes(name), StandardCharsets.ISO_8859_1),
                new String(actual, StandardCharsets.ISO_8859_1));
        assertArrayEquals(bytes(name), actual);
    }
}
