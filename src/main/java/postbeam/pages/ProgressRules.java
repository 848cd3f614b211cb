package postbeam.pages;

import postbeam.slices.KeyRange;

/** From which position a range goes on after a page. */
interface ProgressRules {
    /**
     * Of keys that answered. Rows that were seen beyond the page are fetched again with the next
     * one.
     *
     * @param before the range's progress before the page
     * @param keys those of the range that were fetched together; fewer than all where its slice was
     *     split since
     * @param lastSeen of these keys; null where no row was seen
     * @param lastGiven of the page; null where it has no row
     * @return null where the range starts from its first row
     */
    RowPosition positionAfterPage(
            RangeProgress before, KeyRange keys, RowPosition lastSeen, RowPosition lastGiven);

    /** Of keys that did not answer; parameters as above. */
    RowPosition positionOfMissing(RowPosition before, RowPosition lastGiven);
}
