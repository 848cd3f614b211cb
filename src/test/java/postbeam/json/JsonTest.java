package postbeam.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTest {
    private static byte[] object(String hexValue) {
        return HexFormat.of().parseHex("7b2261223a22" + hexValue + "227d");
    }

    private static String rejection(byte[] document) {
        return assertThrows(MalformedJsonException.class, () -> Json.parseObject(document))
                .getMessage();
    }

    /** Guards against text that a lenient decoder reads as other characters than were sent. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "c080",
                "c1a1646d696e",
                "e08080",
                "eda080",
                "edb080",
                "f08080af",
                "f4908080",
                "f5808080",
                "e282",
                "80",
                "ff"
            })
    void malformedUtf8IsRejected(String hexValue) {
        assertEquals("the JSON document is not valid UTF-8", rejection(object(hexValue)));
    }

    /** Guards against half characters, which are sent on as a question mark. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"a\":\"\\ud800\"}",
                "{\"a\":\"\\udc00\\ud800\"}",
                "{\"a\":\"x\\ud83dx\"}",
                "{\"a\":[\"\\ud83d\\ude00\\ud83d\"]}"
            })
    void unpairedSurrogateIsRejected(String document) {
        String message = rejection(document.getBytes(StandardCharsets.US_ASCII));
        assertTrue(message.startsWith("a string holds the unpaired surrogate U+D"), message);
    }

    /** Guards against a member that is found under another name than was sent. */
    @Test
    void unpairedSurrogateInNameIsRejected() {
        byte[] document = "{\"\\udfff\":1}".getBytes(StandardCharsets.US_ASCII);
        assertThrows(IOException.class, () -> Json.parseObject(document));
    }

    /** Guards against documents whose encoding the library guesses. */
    @ParameterizedTest
    @ValueSource(strings = {"UTF-16BE", "UTF-16LE", "UTF-32BE", "UTF-16"})
    void encodingOtherThanUtf8IsRejected(String charset) {
        byte[] document = "{\"a\":\"x\"}".getBytes(Charset.forName(charset));
        assertThrows(IOException.class, () -> Json.parseObject(document));
    }

    /** Guards against a byte order mark that is dropped on the way. */
    @Test
    void byteOrderMarkIsRejected() {
        byte[] document = "\ufeff{\"a\":\"x\"}".getBytes(StandardCharsets.UTF_8);
        assertThrows(IOException.class, () -> Json.parseObject(document));
    }

    /** Guards against a member of which each reader may take another value. */
    @Test
    void repeatedMemberIsRejected() {
        byte[] document = "{\"a\":{\"b\":null,\"b\":2}}".getBytes(StandardCharsets.US_ASCII);
        assertEquals("a member is repeated: b", rejection(document));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "7f",
                "c280",
                "dfbf",
                "e0a080",
                "ed9fbf",
                "ee8080",
                "efbfbf",
                "f09f9880",
                "f48fbfbf"
            })
    void validUtf8IsReadUnchanged(String hexValue) throws IOException {
        byte[] value = HexFormat.of().parseHex(hexValue);
        Map<String, Object> parsed = Json.parseObject(object(hexValue));
        assertEquals(new String(value, StandardCharsets.UTF_8), parsed.get("a"));
    }

    @Test
    void escapedSurrogatePairAndRepeatedNamesInDifferentObjectsAreRead() throws IOException {
        byte[] document =
                "{\"a\":\"\\ud83d\\ude00\",\"b\":{\"a\":\"\\u0000\"}}"
                        .getBytes(StandardCharsets.US_ASCII);
        assertEquals(
                Map.of("a", "\ud83d\ude00", "b", Map.of("a", "\0")), Json.parseObject(document));
    }
}
