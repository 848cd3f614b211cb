package postbeam.testbed.simulation;

import java.util.List;
import postbeam.errors.OperatorErrorException;
import postbeam.migration.MigrationAction;

/** A command of an operator to a migration coordinator. */
interface OperatorCommand {
    /**
     * Runs the command.
     *
     * @return the actions that the coordinator has to carry out
     * @throws OperatorErrorException if the coordinator refuses the command
     */
    List<MigrationAction> run() throws OperatorErrorException;
}
