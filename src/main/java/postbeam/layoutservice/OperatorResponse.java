package postbeam.layoutservice;

import java.util.List;
import java.util.function.Supplier;
import postbeam.migration.MigrationAction;

/**
 * The result of an operator's request: actions to execute and the response text.
 *
 * @param actions to be executed in this order before the response is sent
 * @param text the text of the response; evaluated after the actions are executed
 * @param wakesMoves whether the thread "moves" checks the moves immediately
 */
record OperatorResponse(List<MigrationAction> actions, Supplier<String> text, boolean wakesMoves) {
    /** A response to a request that changes nothing. */
    static OperatorResponse query(String text) {
        return new OperatorResponse(List.of(), () -> text, false);
    }

    /** Actions to execute, and the text to respond with after them. */
    static OperatorResponse command(List<MigrationAction> actions, Supplier<String> text) {
        return new OperatorResponse(actions, text, true);
    }
}
