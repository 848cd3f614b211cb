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
import postbeam.errors.ExplainedException;
import postbeam.slices.KeyRange;

/**
 * Cursors to opaque text and back: signed with one key, read with that and the one before it.
 * Bytes: form 1, key's fingerprint 4, layout, query 8, marks, ranges, HMAC 16; whole numbers in
 * groups of 7 bits, the least first.
 */
public final class CursorSeal {
    /**
     * Characters: RANGES_MOST of 19 bytes, MARKS_MOST of 280 and 41 more, at 4/3; a query's body
     * has room for it.
     */
    static final int TEXT_MOST = 25_000;

    private static final byte FORM = 1;
    private static final int FINGERPRINT = 4;
    private static final int SIGNATURE = 16;
    private static final int KEY_BYTES = 32;
    private static final String HMAC = "HmacSHA256";
    private static final int MISSING = 0;
    private static final int NUMBER = 1;
    private static final int TEXT = 2;

    private final Map<Integer, SecretKeySpec> keys = new LinkedHashMap<>();
    private final int newest;

    /** The key to sign with and the one before it, null where there is none; each 64 hex digits. */
    public CursorSeal(String key, String oldKey) throws ExplainedException {
        newest = hold(key, "pages.key");
        if (oldKey != null) {
            hold(oldKey, "pages.oldKey");
        }
    }

    private int hold(String hex, String setting) throws ExplainedException {
        byte[] bytes;
        try {
            bytes = HexFormat.of().parseHex(hex == null ? "" : hex);
        } catch (IllegalArgumentException e) {
            bytes = new byte[0];
        }
        if (bytes.length != KEY_BYTES) {
            throw new PageError.BadKey(setting).thrown();
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
    public static long digest(String vertical, String owner, byte[] text, Order order) {
        String head = vertical + "\n" + owner + "\n" + text(order) + "\n";
        byte[] first = head.getBytes(StandardCharsets.UTF_8);
        byte[] all = Arrays.copyOf(first, first.length + text.length);
        System.arraycopy(text, 0, all, first.length, text.length);
        return ByteBuffer.wrap(digest("SHA-256", all)).getLong();
    }

    /** The order as it stands in digests, which cursors carry: its form stays. */
    private static String text(Order order) {
        return order.keys().stream()
                .map(
                        key ->
                                key.by()
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
            return Arrays.copyOf(mac.doFinal(), SIGNATURE);
        } catch (GeneralSecurityException e) {
            throw new LinkageError("every Java platform has " + HMAC, e);
        }
    }

    // ---- out

    /** The text for the client; a TooMuchOwed where it would not be bounded. */
    public String sealed(Cursor cursor) throws ExplainedException {
        Map<Mark, Integer> marks = new LinkedHashMap<>();
        for (Standing one : cursor.standings()) {
            if (one.after() != null) {
                marks.putIfAbsent(one.after(), marks.size() + 1);
            }
        }
        if (cursor.standings().size() > Assembly.RANGES_MOST
                || marks.size() > Assembly.MARKS_MOST) {
            throw new PageError.TooMuchOwed(cursor.standings().size(), marks.size()).thrown();
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(FORM);
        out.writeBytes(ByteBuffer.allocate(FINGERPRINT).putInt(newest).array());
        number(out, cursor.layout());
        out.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(cursor.query()).array());
        number(out, marks.size());
        marks.keySet().forEach(mark -> mark(out, mark));
        number(out, cursor.standings().size());
        long at = 0;
        for (Standing one : cursor.standings()) {
            number(out, one.keys().from() - at);
            number(out, one.keys().size());
            out.writeBytes(ByteBuffer.allocate(Float.BYTES).putFloat((float) one.weight()).array());
            number(out, one.after() == null ? 0 : marks.get(one.after()));
            at = one.keys().to();
        }
        out.writeBytes(signature(keys.get(newest), out.toByteArray(), out.size()));
        return written(out.toByteArray());
    }

    private static String written(byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private static void mark(ByteArrayOutputStream out, Mark mark) {
        number(out, mark.sort().size());
        for (Object value : mark.sort()) {
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
    public Cursor opened(String text, long query, Lineage lineage) throws ExplainedException {
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text.length() > TEXT_MOST ? "" : text);
        } catch (IllegalArgumentException e) {
            throw new PageError.Altered().thrown();
        }
        int signed = bytes.length - SIGNATURE;
        // The last letter has bits that stand for nothing: other ones are another text.
        if (signed < 1 + FINGERPRINT || !written(bytes).equals(text)) {
            throw new PageError.Altered().thrown();
        }
        if (bytes[0] != FORM) {
            throw new PageError.UnknownForm(bytes[0]).thrown();
        }
        int fingerprint = ByteBuffer.wrap(bytes, 1, FINGERPRINT).getInt();
        SecretKeySpec key = keys.get(fingerprint);
        if (key == null) {
            throw new PageError.UnknownKey(String.format("%08x", fingerprint)).thrown();
        }
        if (!MessageDigest.isEqual(
                signature(key, bytes, signed), Arrays.copyOfRange(bytes, signed, bytes.length))) {
            throw new PageError.Altered().thrown();
        }
        Cursor cursor;
        try {
            cursor = read(ByteBuffer.wrap(bytes, 1 + FINGERPRINT, signed - 1 - FINGERPRINT));
        } catch (BufferUnderflowException
                | IllegalArgumentException
                | IndexOutOfBoundsException e) {
            throw new ExplainedException(new PageError.Altered(), e);
        }
        if (cursor.query() != query) {
            throw new PageError.OfAnotherQuery().thrown();
        }
        if (cursor.layout() > lineage.version()) {
            throw new PageError.Ahead(cursor.layout(), lineage.version()).thrown();
        }
        if (cursor.layout() < lineage.oldest()) {
            throw new PageError.TooOld(cursor.layout(), lineage.oldest()).thrown();
        }
        return cursor;
    }

    private static Cursor read(ByteBuffer in) {
        long layout = number(in);
        long query = in.getLong();
        List<Mark> marks = new ArrayList<>();
        int count = count(in, Assembly.MARKS_MOST);
        for (int i = 0; i < count; i++) {
            marks.add(readMark(in));
        }
        List<Standing> standings = new ArrayList<>();
        count = count(in, Assembly.RANGES_MOST);
        long at = 0;
        for (int i = 0; i < count; i++) {
            long from = at + number(in);
            at = from + number(in);
            KeyRange keys = new KeyRange(from, at);
            float weight = in.getFloat();
            int mark = count(in, marks.size());
            standings.add(new Standing(keys, weight, mark == 0 ? null : marks.get(mark - 1)));
        }
        if (in.hasRemaining() || standings.isEmpty()) {
            throw new IllegalArgumentException("not as it was written");
        }
        return new Cursor(layout, query, standings);
    }

    private static Mark readMark(ByteBuffer in) {
        List<Object> sort = new ArrayList<>();
        int count = count(in, Order.KEYS_MOST);
        for (int i = 0; i < count; i++) {
            byte kind = in.get();
            if (kind == TEXT) {
                byte[] text = new byte[count(in, Mark.TEXT_MOST)];
                in.get(text);
                sort.add(new String(text, StandardCharsets.UTF_8));
            } else {
                sort.add(kind == NUMBER ? (Object) in.getLong() : null);
            }
        }
        return new Mark(sort, number(in), in.getLong());
    }

    private static int count(ByteBuffer in, int most) {
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
