package postbeam.coordination;

/**
 * One process of a data node, from its start to its end. Knowledge of an earlier process of the
 * same node does not apply to it.
 *
 * @param name of the node
 * @param incarnation higher for each later start
 */
public record NodeIncarnation(String name, long incarnation) {}
