package postbeam.pages;

import postbeam.slices.KeyRange;

/** Determines the position from which a range continues after a page. */
interface ProgressRules {
    /**
     * Returns the new position of keys that answered. Rows received beyond the end of the page are
     * fetched again for the next page.
     *
     * @param before the range's progress before the page
     * @param keys the part of the range that one first-round answer covers; smaller than the range
     *     if its slice was split
     * @param lastSeen position of the last row received for these keys; null if there is none
     * @param lastReturned position of the page's last row; null if the page is empty
     * @return the position after which the keys continue; null to start from the first row
     */
    RowPosition positionAfterPage(
            RangeProgress before, KeyRange keys, RowPosition lastSeen, RowPosition lastReturned);

    /**
     * Returns the new position of keys that did not answer.
     *
     * @param before the position before the page; null if the range starts from its first row
     * @param lastReturned position of the page's last row; null if the page is empty
     * @return the position after which the keys continue; null to start from the first row
     */
    RowPosition positionOfMissing(RowPosition before, RowPosition lastReturned);
}
