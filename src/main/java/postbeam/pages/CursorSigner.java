package postbeam.pages;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import postbeam.errors.OperatorErrorException;

/**
 * Signs cursors with one key and verifies them with that key or a second one. A fingerprint, the
 * first 4 bytes of the key's SHA-256 hash, identifies each key.
 */
final class CursorSigner {
    static final int SIGNATURE_BYTES = 16;

    private static final int KEY_BYTES = 32;
    private static final String HMAC = "HmacSHA256";

    private final Map<Integer, SecretKeySpec> keysByFingerprint = new LinkedHashMap<>();
    private final int signingFingerprint;

    /** Creates a signer; for the parameters see {@link CursorCodec#CursorCodec}. */
    CursorSigner(String key, String oldKey) throws OperatorErrorException {
        signingFingerprint = addKey(key, "pages.key");
        if (oldKey != null) {
            addKey(oldKey, "pages.oldKey");
        }
    }

    private int addKey(String hexDigits, String setting) throws OperatorErrorException {
        byte[] bytes = parse(hexDigits);
        if (bytes.length != KEY_BYTES) {
            throw new PageError.InvalidSigningKey(setting).toException();
        }
        int fingerprint = fingerprintOf(bytes);
        keysByFingerprint.put(fingerprint, new SecretKeySpec(bytes, HMAC));
        return fingerprint;
    }

    /** Returns an empty array if the text is null or not hexadecimal. */
    private static byte[] parse(String hexDigits) {
        try {
            return HexFormat.of().parseHex(hexDigits == null ? "" : hexDigits);
        } catch (IllegalArgumentException e) {
            return new byte[0];
        }
    }

    private static int fingerprintOf(byte[] key) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(key)).getInt();
        } catch (GeneralSecurityException e) {
            throw new LinkageError(
                    "this Java platform lacks SHA-256, which every Java platform must provide", e);
        }
    }

    /** Fingerprint of the signing key. */
    int signingFingerprint() {
        return signingFingerprint;
    }

    boolean hasKey(int fingerprint) {
        return keysByFingerprint.containsKey(fingerprint);
    }

    /** Returns the signature of the bytes by the signing key. */
    byte[] sign(byte[] bytes) {
        return signature(signingFingerprint, bytes, bytes.length);
    }

    /**
     * Returns whether the last {@link #SIGNATURE_BYTES} bytes are the signature of all bytes before
     * them by the key with this fingerprint, which must be one of this signer's keys.
     */
    boolean verify(int fingerprint, byte[] signed) {
        int length = signed.length - SIGNATURE_BYTES;
        byte[] signature = Arrays.copyOfRange(signed, length, signed.length);
        return MessageDigest.isEqual(signature(fingerprint, signed, length), signature);
    }

    private byte[] signature(int fingerprint, byte[] bytes, int length) {
        try {
            Mac mac = Mac.getInstance(HMAC);
            mac.init(keysByFingerprint.get(fingerprint));
            mac.update(bytes, 0, length);
            return Arrays.copyOf(mac.doFinal(), SIGNATURE_BYTES);
        } catch (GeneralSecurityException e) {
            throw new LinkageError(
                    "this Java platform lacks " + HMAC + ", which every Java platform must provide",
                    e);
        }
    }
}
