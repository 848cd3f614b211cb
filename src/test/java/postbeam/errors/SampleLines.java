package postbeam.errors;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Lines of a committed sample, which tests compare with what the code writes today. */
public final class SampleLines {
    private SampleLines() {}

    /** The lines of {@code src/test/resources/samples/} and this path. */
    public static List<String> of(String path) throws IOException {
        try (InputStream in = SampleLines.class.getResourceAsStream("/samples/" + path)) {
            if (in == null) {
                throw new IOException("no sample " + path);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }
}
