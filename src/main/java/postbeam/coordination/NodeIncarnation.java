package postbeam.coordination;

/**
 * One run of a data node: what is known of an earlier run says nothing of it.
 *
 * @param name its name
 * @param incarnation higher for each later start
 */
public record NodeIncarnation(String name, long incarnation) {}
