package postbeam.migration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests of texts. */
final class Digests {
    private Digests() {}

    /** Returns the digest of the text's UTF-8 bytes in hexadecimal digits. */
    static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(
                    "this Java platform lacks SHA-256, which every Java platform must provide", e);
        }
    }
}
