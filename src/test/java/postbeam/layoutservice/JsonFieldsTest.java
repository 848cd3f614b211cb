package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.json.Json;
import postbeam.slices.LayoutChange;

/** Checks that numbers in operator commands and stored records are read without loss. */
class JsonFieldsTest {
    private static LayoutChange readChange(String json) throws IOException {
        return LayoutChangeCodec.readChange(
                Json.parseObject(json.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Guards against a command that is executed on a wrong slice or key because its number was
     * truncated.
     */
    @Test
    void fractionalOrTooLargeNumberIsRejectedWithItsFieldName() {
        for (String split :
                List.of(
                        "{\"split\": 4294967296, \"at\": [100]}",
                        "{\"split\": 0.5, \"at\": [100]}",
                        "{\"split\": 18446744073709551616, \"at\": [100]}")) {
            IOException e = assertThrows(IOException.class, () -> readChange(split), split);
            assertTrue(e.getMessage().startsWith("split is "), e.getMessage());
        }
        for (String key : List.of("100.5", "18446744073709551716", "1e300")) {
            String split = "{\"split\": 0, \"at\": [" + key + "]}";
            IOException e = assertThrows(IOException.class, () -> readChange(split), split);
            assertTrue(e.getMessage().startsWith("at is "), e.getMessage());
        }
    }

    @Test
    void integersInRangeAreRead() throws IOException {
        assertEquals(
                new LayoutChange.Split(7, List.of(100L, 1L << 47)),
                readChange("{\"split\": 7, \"at\": [100, 140737488355328]}"));
    }
}
