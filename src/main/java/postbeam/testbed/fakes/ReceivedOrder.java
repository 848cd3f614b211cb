package postbeam.testbed.fakes;

import postbeam.slices.HandoffCommand;
import postbeam.slices.KeyRange;

/**
 * An order of the layout service as a data node receives it: {@code ORDER MOVE SLICE FROM TO
 * VERSION SOURCE TERM NUMBER}, the last two words only where terms are in use.
 *
 * @param move the move's id, which the response repeats
 * @param sourceAddress HOST:PORT of the node to copy from, or "-"
 * @param term 0 if the order has none
 * @param number {@link OrderNumber#NONE} if the order has none
 */
record ReceivedOrder(
        HandoffCommand command,
        String move,
        int slice,
        KeyRange keys,
        long version,
        String sourceAddress,
        long term,
        OrderNumber number) {
    private static final int TERM_WORD = 7;
    private static final int NUMBER_WORD = 8;

    /** Parses the text of a frame after its first letter. */
    static ReceivedOrder parse(String text) {
        String[] words = text.split(" ", 0);
        long term = words.length > TERM_WORD ? Long.parseLong(words[TERM_WORD]) : 0;
        OrderNumber number =
                words.length > NUMBER_WORD
                        ? new OrderNumber(term, Long.parseLong(words[NUMBER_WORD]))
                        : OrderNumber.NONE;
        return new ReceivedOrder(
                HandoffCommand.valueOf(words[0]),
                words[1],
                Integer.parseInt(words[2]),
                new KeyRange(Long.parseLong(words[3]), Long.parseLong(words[4])),
                Long.parseLong(words[5]),
                words[6],
                term,
                number);
    }

    /** Returns the text of the response with this status, with its first letter. */
    String response(String status) {
        return "s" + command + " " + move + " " + slice + " " + status;
    }
}
