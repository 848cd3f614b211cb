package postbeam.router;

import java.time.Duration;
import java.util.List;
import postbeam.pages.PageAsked;

/**
 * A query as its client asked it; the patience counts from when its first byte was seen. The layout
 * is the version by which it names its shards, 0 where it names none; a repeat is what its client
 * marks as one; the page is null where none is asked for.
 */
public record Asked(
        String id,
        String vertical,
        String owner,
        Duration patience,
        List<AskedPart> parts,
        byte[] text,
        long layout,
        boolean repeat,
        PageAsked page) {
    public Asked(
            String id,
            String vertical,
            String owner,
            Duration patience,
            List<AskedPart> parts,
            byte[] text) {
        this(id, vertical, owner, patience, parts, text, 0, false, null);
    }

    /** One shard's part: its share of the answer and, where a guess came, its work. */
    public record AskedPart(int shard, double weight, Duration work) {}

    /** The same under an id of its own, which no client's can be: asking again for its page. */
    public Asked again(int round) {
        return new Asked(
                id + "." + round, vertical, owner, patience, parts, text, layout, repeat, page);
    }

    /** The same, with a client of no more patience than this. */
    public Asked within(Duration most) {
        return patience.compareTo(most) <= 0
                ? this
                : new Asked(id, vertical, owner, most, parts, text, layout, repeat, page);
    }
}
