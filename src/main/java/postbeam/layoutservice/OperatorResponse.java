package postbeam.layoutservice;

import java.util.List;
import java.util.function.Supplier;
import postbeam.migration.MigrationAction;

/**
 * What an operator's request leads to.
 *
 * @param actions what is to be done, in this order, before the answer is given
 * @param text the answer's text; evaluated once the actions are done
 * @param wakesMoves whether the moves are looked at again at once
 */
record OperatorResponse(List<MigrationAction> actions, Supplier<String> text, boolean wakesMoves) {
    /** An answer that changes nothing. */
    static OperatorResponse query(String text) {
        return new OperatorResponse(List.of(), () -> text, false);
    }

    /** Actions, and the answer once they are done. */
    static OperatorResponse command(List<MigrationAction> actions, Supplier<String> text) {
        return new OperatorResponse(actions, text, true);
    }
}
