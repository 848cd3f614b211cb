package postbeam.pages;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.Map;
import postbeam.errors.OperatorErrorException;

/**
 * Encodes cursors as opaque text and decodes them. The text is the base64url encoding, without
 * padding, of: format version (1 byte), fingerprint of the signing key (4 bytes), {@link
 * CursorBody}, and HMAC-SHA256 of all preceding bytes, truncated to 16 bytes. Thread-safe.
 */
public final class CursorCodec {
    /**
     * Maximum length in characters: {@link PageAssembler#MAX_RANGES} ranges of 19 bytes, {@link
     * PageAssembler#MAX_POSITIONS} positions of 280 bytes and 41 other bytes, times 4/3 for base64.
     * It fits into the body of a query.
     */
    static final int MAX_TEXT_LENGTH = 25_000;

    private static final byte FORMAT_VERSION = 1;
    private static final int FINGERPRINT_BYTES = 4;
    private static final int HEADER_BYTES = 1 + FINGERPRINT_BYTES;

    private final CursorSigner signer;

    /**
     * Creates a codec that signs with the key and accepts signatures of both keys, so that the key
     * can be changed on one router after the other.
     *
     * @param key 64 hexadecimal digits
     * @param oldKey a second accepted key in the same form, usually the previous one; null for none
     * @throws OperatorErrorException with {@link PageError.InvalidSigningKey} if a key is malformed
     */
    public CursorCodec(String key, String oldKey) throws OperatorErrorException {
        signer = new CursorSigner(key, oldKey);
    }

    /**
     * Encodes and signs a cursor for a client.
     *
     * @throws OperatorErrorException with {@link PageError.CursorTooLarge} if the cursor has too
     *     many ranges or positions
     */
    public String encode(Cursor cursor) throws OperatorErrorException {
        Map<RowPosition, Integer> positionNumbers = CursorBody.numberPositions(cursor);
        int ranges = cursor.ranges().size();
        if (ranges > PageAssembler.MAX_RANGES
                || positionNumbers.size() > PageAssembler.MAX_POSITIONS) {
            throw new PageError.CursorTooLarge(ranges, positionNumbers.size()).toException();
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(FORMAT_VERSION);
        out.writeBytes(
                ByteBuffer.allocate(FINGERPRINT_BYTES).putInt(signer.signingFingerprint()).array());
        CursorBody.write(out, cursor, positionNumbers);
        out.writeBytes(signer.sign(out.toByteArray()));
        return toBase64(out.toByteArray());
    }

    /**
     * Decodes and verifies a cursor that continues this query.
     *
     * @param queryDigest digest of the query, see {@link QueryDigest#of}
     * @throws OperatorErrorException with a {@link PageError} that tells why the cursor is rejected
     */
    public Cursor decode(String text, long queryDigest, LayoutHistory layouts)
            throws OperatorErrorException {
        byte[] bytes = fromBase64(text);
        verify(bytes);
        Cursor cursor = readBody(bytes);
        if (cursor.queryDigest() != queryDigest) {
            throw new PageError.QueryMismatch().toException();
        }
        if (cursor.layoutVersion() > layouts.currentVersion()) {
            throw new PageError.LayoutNotYetKnown(cursor.layoutVersion(), layouts.currentVersion())
                    .toException();
        }
        if (cursor.layoutVersion() < layouts.oldestVersion()) {
            throw new PageError.LayoutNoLongerKept(cursor.layoutVersion(), layouts.oldestVersion())
                    .toException();
        }
        return cursor;
    }

    private static String toBase64(byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private static byte[] fromBase64(String text) throws OperatorErrorException {
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text.length() > MAX_TEXT_LENGTH ? "" : text);
        } catch (IllegalArgumentException e) {
            throw new OperatorErrorException(new PageError.InvalidCursor(), e);
        }
        // The last base64 character may have unused bits; text with other values there is rejected.
        if (bytes.length < HEADER_BYTES + CursorSigner.SIGNATURE_BYTES
                || !toBase64(bytes).equals(text)) {
            throw new PageError.InvalidCursor().toException();
        }
        return bytes;
    }

    private void verify(byte[] bytes) throws OperatorErrorException {
        if (bytes[0] != FORMAT_VERSION) {
            throw new PageError.UnsupportedCursorFormat(bytes[0]).toException();
        }
        int fingerprint = ByteBuffer.wrap(bytes, 1, FINGERPRINT_BYTES).getInt();
        if (!signer.hasKey(fingerprint)) {
            throw new PageError.UnknownSigningKey(String.format("%08x", fingerprint)).toException();
        }
        if (!signer.verify(fingerprint, bytes)) {
            throw new PageError.InvalidCursor().toException();
        }
    }

    private static Cursor readBody(byte[] bytes) throws OperatorErrorException {
        int length = bytes.length - HEADER_BYTES - CursorSigner.SIGNATURE_BYTES;
        try {
            return CursorBody.read(ByteBuffer.wrap(bytes, HEADER_BYTES, length));
        } catch (BufferUnderflowException
                | IllegalArgumentException
                | IndexOutOfBoundsException e) {
            throw new OperatorErrorException(new PageError.InvalidCursor(), e);
        }
    }
}
