package postbeam.pages;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.slices.KeyRange;

/**
 * Encodes and decodes the part of a cursor between its header and its signature: layout version,
 * query digest (8 bytes), positions, ranges. Each range refers to its position by a number from 1
 * on; 0 means no position. Whole numbers are encoded by {@link VarLong}.
 */
final class CursorBody {
    private static final int MISSING_VALUE = 0;
    private static final int NUMBER_VALUE = 1;
    private static final int TEXT_VALUE = 2;
    private static final int NO_POSITION = 0;

    private CursorBody() {}

    // ---- write

    /**
     * Assigns numbers from 1 on to the distinct positions of the cursor, in the order of their
     * first use.
     */
    static Map<RowPosition, Integer> numberPositions(Cursor cursor) {
        Map<RowPosition, Integer> numbers = new LinkedHashMap<>();
        for (RangeProgress progress : cursor.ranges()) {
            if (progress.after() != null) {
                numbers.putIfAbsent(progress.after(), numbers.size() + 1);
            }
        }
        return numbers;
    }

    /** Writes the body; the positions are those that {@link #numberPositions} returns. */
    static void write(
            ByteArrayOutputStream out, Cursor cursor, Map<RowPosition, Integer> positionNumbers) {
        VarLong.write(out, cursor.layoutVersion());
        writeLong(out, cursor.queryDigest());
        VarLong.write(out, positionNumbers.size());
        positionNumbers.keySet().forEach(position -> writePosition(out, position));
        VarLong.write(out, cursor.ranges().size());
        long previousEnd = 0;
        for (RangeProgress progress : cursor.ranges()) {
            VarLong.write(out, progress.range().from() - previousEnd);
            VarLong.write(out, progress.range().size());
            out.writeBytes(
                    ByteBuffer.allocate(Float.BYTES).putFloat((float) progress.weight()).array());
            VarLong.write(
                    out,
                    progress.after() == null ? NO_POSITION : positionNumbers.get(progress.after()));
            previousEnd = progress.range().to();
        }
    }

    private static void writePosition(ByteArrayOutputStream out, RowPosition position) {
        VarLong.write(out, position.sortValues().size());
        position.sortValues().forEach(value -> writeValue(out, value));
        VarLong.write(out, position.key());
        writeLong(out, position.sequence());
    }

    private static void writeValue(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(MISSING_VALUE);
        } else if (value instanceof Long number) {
            out.write(NUMBER_VALUE);
            writeLong(out, number);
        } else {
            byte[] text = ((String) value).getBytes(StandardCharsets.UTF_8);
            out.write(TEXT_VALUE);
            VarLong.write(out, text.length);
            out.writeBytes(text);
        }
    }

    private static void writeLong(ByteArrayOutputStream out, long value) {
        out.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
    }

    // ---- read

    /**
     * Reads a body up to the end of the buffer.
     *
     * @throws IllegalArgumentException if a number, count or key range is invalid, no range is
     *     present, or bytes follow the last range
     * @throws java.nio.BufferUnderflowException if the body is truncated
     */
    static Cursor read(ByteBuffer in) {
        long layoutVersion = VarLong.read(in);
        long queryDigest = in.getLong();
        List<RowPosition> positions = readPositions(in);
        List<RangeProgress> ranges = readRanges(in, positions);
        if (in.hasRemaining() || ranges.isEmpty()) {
            throw new IllegalArgumentException(
                    "expected at least one range and no trailing bytes, not "
                            + ranges.size()
                            + " ranges and "
                            + in.remaining()
                            + " bytes");
        }
        return new Cursor(layoutVersion, queryDigest, ranges);
    }

    private static List<RowPosition> readPositions(ByteBuffer in) {
        int count = VarLong.readCount(in, PageAssembler.MAX_POSITIONS);
        List<RowPosition> positions = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            positions.add(readPosition(in));
        }
        return positions;
    }

    private static List<RangeProgress> readRanges(ByteBuffer in, List<RowPosition> positions) {
        int count = VarLong.readCount(in, PageAssembler.MAX_RANGES);
        List<RangeProgress> ranges = new ArrayList<>();
        long previousEnd = 0;
        for (int i = 0; i < count; i++) {
            long from = previousEnd + VarLong.read(in);
            long to = from + VarLong.read(in);
            float weight = in.getFloat();
            int number = VarLong.readCount(in, positions.size());
            RowPosition after = number == NO_POSITION ? null : positions.get(number - 1);
            ranges.add(new RangeProgress(new KeyRange(from, to), weight, after));
            previousEnd = to;
        }
        return ranges;
    }

    private static RowPosition readPosition(ByteBuffer in) {
        int count = VarLong.readCount(in, SortOrder.MAX_KEYS);
        List<Object> sortValues = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sortValues.add(readValue(in));
        }
        return new RowPosition(sortValues, VarLong.read(in), in.getLong());
    }

    private static Object readValue(ByteBuffer in) {
        byte kind = in.get();
        if (kind == NUMBER_VALUE) {
            return in.getLong();
        }
        if (kind != TEXT_VALUE) {
            return null;
        }
        byte[] text = new byte[VarLong.readCount(in, RowPosition.MAX_TEXT_BYTES)];
        in.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }
}
