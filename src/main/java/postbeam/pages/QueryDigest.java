package postbeam.pages;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.stream.Collectors;

/** Identifies a query, so that a cursor is accepted only with the query it was created for. */
public final class QueryDigest {
    private QueryDigest() {}

    /**
     * Returns the digest, which is the same for each page of a query: the first 8 bytes of a
     * SHA-256 hash. Cursors contain it, so the hashed form must not change.
     */
    public static long of(String queryClass, String tenant, byte[] payload, SortOrder order) {
        String head = queryClass + "\n" + tenant + "\n" + text(order) + "\n";
        MessageDigest digest = sha256();
        digest.update(head.getBytes(StandardCharsets.UTF_8));
        digest.update(payload);
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    private static String text(SortOrder order) {
        return order.keys().stream()
                .map(QueryDigest::text)
                .collect(Collectors.joining(", ", "[", "]"));
    }

    private static String text(SortKey key) {
        return key.field()
                + (key.descending() ? " descending" : " ascending")
                + (key.missingFirst() ? ", missing first" : ", missing last");
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new LinkageError(
                    "this Java platform lacks SHA-256, which every Java platform must provide", e);
        }
    }
}
