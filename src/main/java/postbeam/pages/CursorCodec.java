package postbeam.pages;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import postbeam.errors.OperatorErrorException;
import postbeam.slices.KeyRange;

/**
 * Cursors to opaque text and back: signed with one key, read with that and the one before it.
 * Bytes: form 1, key's fingerprint 4, layout, query 8, marks, ranges, HMAC 16; whole numbers in
 * groups of 7 bits, the least first.
 */
public final class CursorCodec {
    /**
     * Characters: RANGES_MOST of 19 bytes, MARKS_MOST of 280 and 41 more, at 4/3; a query's body
     * has room for it.
     */
    static final int MAX_TEXT_LENGTH = 25_000;

    private static final byte FORMAT_VERSION = 1;
    private static final int FINGERPRINT_BYTES = 4;
    private static final int SIGNATURE_BYTES = 16;
    private static final int KEY_BYTES = 32;
    private static final String HMAC = "HmacSHA256";
    private static final int MISSING = 0;
    private static final int NUMBER = 1;
    private static final int TEXT = 2;

    private final Map<Integer, SecretKeySpec> keys = new LinkedHashMap<>();
    private final int signingFingerprint;

    /** The key to sign with and the one before it, null where there is none; each 64 hex digits. */
    public CursorCodec(String key, String oldKey) throws OperatorErrorException {
        signingFingerprint = addKey(key, "pages.key");
        if (oldKey != null) {
            addKey(oldKey, "pages.oldKey");
        }
    }

    private int addKey(String hex, String setting) throws OperatorErrorException {
        byte[] bytes;
        try {
            bytes = HexFormat.of().parseHex(hex == null ? "" : hex);
        } catch (IllegalArgumentException e) {
            bytes = new byte[0];
        }
        if (bytes.length != KEY_BYTES) {
            throw new PageError.InvalidSigningKey(setting).toException();
        }
        int fingerprint = ByteBuffer.wrap(digest("SHA-256", bytes)).getInt();
        keys.put(fingerprint, new SecretKeySpec(bytes, HMAC));
        return fingerprint;
    }

    private static byte[] digest(String by, byte[] bytes) {
        try {
            return MessageDigest.getInstance(by).digest(bytes);
        } catch (GeneralSecurityException e) {
            throw new LinkageError("every Java platform has " + by, e);
        }
    }

    /** What marks a query: it is the same for each page of a chain. */
    public static long digest(String vertical, String owner, byte[] text, SortOrder order) {
        String head = vertical + "\n" + owner + "\n" + canonicalText(order) + "\n";
        byte[] first = head.getBytes(StandardCharsets.UTF_8);
        byte[] all = Arrays.copyOf(first, first.length + text.length);
        System.arraycopy(text, 0, all, first.length, text.length);
        return ByteBuffer.wrap(digest("SHA-256", all)).getLong();
    }

    /** The order as it stands in digests, which cursors carry: its form stays. */
    private static String canonicalText(SortOrder order) {
        return order.keys().stream()
                .map(
                        key ->
                                key.field()
                                        + (key.descending() ? " descending" : " ascending")
                                        + (key.missingFirst()
                                                ? ", missing first"
                                                : ", missing last"))
                .collect(Collectors.joining(", ", "[", "]"));
    }

    private byte[] signature(SecretKeySpec key, byte[] bytes, int length) {
        try {
            Mac mac = Mac.getInstance(HMAC);
            mac.init(key);
            mac.update(bytes, 0, length);
            return Arrays.copyOf(mac.doFinal(), SIGNATURE_BYTES);
        } catch (GeneralSecurityException e) {
            throw new LinkageError("every Java platform has " + HMAC, e);
        }
    }

    // ---- out

    /** The text for the client; a CursorTooLarge where it would not be bounded. */
    public String encode(Cursor cursor) throws OperatorErrorException {
        Map<RowPosition, Integer> marks = new LinkedHashMap<>();
        for (RangeProgress one : cursor.ranges()) {
            if (one.after() != null) {
                marks.putIfAbsent(one.after(), marks.size() + 1);
            }
        }
        if (cursor.ranges().size() > PageAssembler.MAX_RANGES
                || marks.size() > PageAssembler.MAX_POSITIONS) {
            throw new PageError.CursorTooLarge(cursor.ranges().size(), marks.size()).toException();
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(FORMAT_VERSION);
        out.writeBytes(ByteBuffer.allocate(FINGERPRINT_BYTES).putInt(signingFingerprint).array());
        number(out, cursor.layoutVersion());
        out.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(cursor.queryDigest()).array());
        number(out, marks.size());
        marks.keySet().forEach(mark -> writePosition(out, mark));
        number(out, cursor.ranges().size());
        long at = 0;
        for (RangeProgress one : cursor.ranges()) {
            number(out, one.range().from() - at);
            number(out, one.range().size());
            out.writeBytes(ByteBuffer.allocate(Float.BYTES).putFloat((float) one.weight()).array());
            number(out, one.after() == null ? 0 : marks.get(one.after()));
            at = one.range().to();
        }
        out.writeBytes(signature(keys.get(signingFingerprint), out.toByteArray(), out.size()));
        return toBase64(out.toByteArray());
    }

    private static String toBase64(byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private static void writePosition(ByteArrayOutputStream out, RowPosition mark) {
        number(out, mark.sortValues().size());
        for (Object value : mark.sortValues()) {
            if (value == null) {
                out.write(MISSING);
            } else if (value instanceof Long whole) {
                out.write(NUMBER);
                out.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(whole).array());
            } else {
                byte[] text = ((String) value).getBytes(StandardCharsets.UTF_8);
                out.write(TEXT);
                number(out, text.length);
                out.writeBytes(text);
            }
        }
        number(out, mark.key());
        out.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(mark.sequence()).array());
    }

    private static void number(ByteArrayOutputStream out, long value) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            out.write((int) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
    }

    // ---- in

    /**
     * The cursor, if it is one of this query that this router can go on from; else the error that
     * says why not.
     */
    public Cursor decode(String text, long query, LayoutHistory lineage)
            throws OperatorErrorException {
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text.length() > MAX_TEXT_LENGTH ? "" : text);
        } catch (IllegalArgumentException e) {
            throw new PageError.InvalidCursor().toException();
        }
        int signed = bytes.length - SIGNATURE_BYTES;
        // The last letter has bits that stand for nothing: other ones are another text.
        if (signed < 1 + FINGERPRINT_BYTES || !toBase64(bytes).equals(text)) {
            throw new PageError.InvalidCursor().toException();
        }
        if (bytes[0] != FORMAT_VERSION) {
            throw new PageError.UnsupportedCursorFormat(bytes[0]).toException();
        }
        int fingerprint = ByteBuffer.wrap(bytes, 1, FINGERPRINT_BYTES).getInt();
        SecretKeySpec key = keys.get(fingerprint);
        if (key == null) {
            throw new PageError.UnknownSigningKey(String.format("%08x", fingerprint)).toException();
        }
        if (!MessageDigest.isEqual(
                signature(key, bytes, signed), Arrays.copyOfRange(bytes, signed, bytes.length))) {
            throw new PageError.InvalidCursor().toException();
        }
        Cursor cursor;
        try {
            cursor =
                    readCursor(
                            ByteBuffer.wrap(
                                    bytes, 1 + FINGERPRINT_BYTES, signed - 1 - FINGERPRINT_BYTES));
        } catch (BufferUnderflowException
                | IllegalArgumentException
                | IndexOutOfBoundsException e) {
            throw new OperatorErrorException(new PageError.InvalidCursor(), e);
        }
        if (cursor.queryDigest() != query) {
            throw new PageError.QueryMismatch().toException();
        }
        if (cursor.layoutVersion() > lineage.currentVersion()) {
            throw new PageError.LayoutNotYetKnown(cursor.layoutVersion(), lineage.currentVersion())
                    .toException();
        }
        if (cursor.layoutVersion() < lineage.oldestVersion()) {
            throw new PageError.LayoutNoLongerKept(cursor.layoutVersion(), lineage.oldestVersion())
                    .toException();
        }
        return cursor;
    }

    private static Cursor readCursor(ByteBuffer in) {
        long layout = number(in);
        long query = in.getLong();
        List<RowPosition> marks = new ArrayList<>();
        int count = readCount(in, PageAssembler.MAX_POSITIONS);
        for (int i = 0; i < count; i++) {
            marks.add(readPosition(in));
        }
        List<RangeProgress> standings = new ArrayList<>();
        count = readCount(in, PageAssembler.MAX_RANGES);
        long at = 0;
        for (int i = 0; i < count; i++) {
            long from = at + number(in);
            at = from + number(in);
            KeyRange keys = new KeyRange(from, at);
            float weight = in.getFloat();
            int mark = readCount(in, marks.size());
            standings.add(new RangeProgress(keys, weight, mark == 0 ? null : marks.get(mark - 1)));
        }
        if (in.hasRemaining() || standings.isEmpty()) {
            throw new IllegalArgumentException("not as it was written");
        }
        return new Cursor(layout, query, standings);
    }

    private static RowPosition readPosition(ByteBuffer in) {
        List<Object> sort = new ArrayList<>();
        int count = readCount(in, SortOrder.MAX_KEYS);
        for (int i = 0; i < count; i++) {
            byte kind = in.get();
            if (kind == TEXT) {
                byte[] text = new byte[readCount(in, RowPosition.MAX_TEXT_BYTES)];
                in.get(text);
                sort.add(new String(text, StandardCharsets.UTF_8));
            } else {
                sort.add(kind == NUMBER ? (Object) in.getLong() : null);
            }
        }
        return new RowPosition(sort, number(in), in.getLong());
    }

    private static int readCount(ByteBuffer in, int most) {
        long count = number(in);
        if (count < 0 || count > most) {
            throw new IllegalArgumentException("more than there can be");
        }
        return (int) count;
    }

    private static long number(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += 7) {
            byte next = in.get();
            value |= (next & 0x7fL) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new IllegalArgumentException("a number that does not end");
    }
}
