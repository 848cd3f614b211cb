package postbeam.pages;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import postbeam.slices.KeyRange;

/**
 * Computes which ranges are missing from a page, and from which position each range that may have
 * rows left continues.
 */
final class ProgressAfterPage {
    private final ProgressRules rules;
    private final AnsweredRanges answeredRanges;
    private final RowPosition lastReturned;
    private final List<KeyRange> missing = new ArrayList<>();
    private final List<RangeProgress> remaining = new ArrayList<>();

    /**
     * Computes the progress of all ranges.
     *
     * @param lastReturned the position of the page's last row; null if the page is empty
     */
    ProgressAfterPage(
            ProgressRules rules,
            AnsweredRanges answeredRanges,
            RowPosition lastReturned,
            List<RangeProgress> ranges) {
        this.rules = rules;
        this.answeredRanges = answeredRanges;
        this.lastReturned = lastReturned;
        ranges.forEach(this::addRange);
    }

    /** Key ranges that did not answer; adjacent ranges are joined. */
    List<KeyRange> missing() {
        return missing;
    }

    /**
     * The ranges that may have rows left. If they are more than {@link PageAssembler#MAX_RANGES},
     * adjacent ranges at the same position are joined; the result may still exceed that limit.
     */
    List<RangeProgress> remaining() {
        if (remaining.size() <= PageAssembler.MAX_RANGES) {
            return remaining;
        }
        // Joins ranges across the client's own ranges, whose separate weights are lost.
        List<RangeProgress> joined = new ArrayList<>();
        remaining.forEach(progress -> addJoined(joined, progress, 0));
        return joined;
    }

    private void addRange(RangeProgress before) {
        List<RangeProgress> parts = new ArrayList<>();
        long from = before.range().from();
        for (AnsweredRange answered : answeredRanges.firstRound()) {
            if (!answered.range.overlaps(before.range())) {
                continue;
            }
            KeyRange common = answered.range.intersection(before.range());
            if (common.from() > from) {
                parts.add(missingPart(before, new KeyRange(from, common.from())));
            }
            if (!answeredRanges.isExhausted(answered, lastReturned)) {
                RowPosition position =
                        rules.positionAfterPage(before, common, answered.lastSeen, lastReturned);
                parts.add(before.restrictedTo(common).advancedTo(position));
            }
            from = common.to();
        }
        if (from < before.range().to()) {
            parts.add(missingPart(before, new KeyRange(from, before.range().to())));
        }
        // Parts of one range are joined again; otherwise each split of a slice would add a range.
        parts.forEach(part -> addJoined(remaining, part, before.range().from()));
    }

    private RangeProgress missingPart(RangeProgress before, KeyRange keys) {
        int last = missing.size() - 1;
        if (last >= 0 && missing.get(last).to() == keys.from()) {
            missing.set(last, missing.get(last).joinedWith(keys));
        } else {
            missing.add(keys);
        }
        return before.restrictedTo(keys)
                .advancedTo(rules.positionOfMissing(before.after(), lastReturned));
    }

    /**
     * Adds a range to the list. It is joined with the last range if both are adjacent and at the
     * same position, and the last range starts at the first key or later.
     */
    private static void addJoined(List<RangeProgress> list, RangeProgress next, long firstKey) {
        int last = list.size() - 1;
        if (last >= 0
                && list.get(last).range().from() >= firstKey
                && canJoin(list.get(last), next)) {
            list.set(last, join(list.get(last), next));
        } else {
            list.add(next);
        }
    }

    private static boolean canJoin(RangeProgress one, RangeProgress next) {
        return one.range().to() == next.range().from() && Objects.equals(one.after(), next.after());
    }

    private static RangeProgress join(RangeProgress one, RangeProgress next) {
        return new RangeProgress(
                one.range().joinedWith(next.range()), one.weight() + next.weight(), one.after());
    }
}
