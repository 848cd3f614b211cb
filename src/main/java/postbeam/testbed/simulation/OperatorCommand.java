package postbeam.testbed.simulation;

import java.util.List;
import postbeam.errors.OperatorErrorException;
import postbeam.migration.MigrationAction;

/** An operator's command to a migration coordinator. */
interface OperatorCommand {
    /**
     * Runs the command.
     *
     * @return what the coordinator has to do for it
     * @throws OperatorErrorException if the coordinator refuses it
     */
    List<MigrationAction> run() throws OperatorErrorException;
}
