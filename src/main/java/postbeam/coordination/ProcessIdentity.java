package postbeam.coordination;

/**
 * One process of a router, from its start to its end; sorted by name, then by incarnation.
 *
 * @param name the configured name of the router
 * @param incarnation higher for each later start
 */
public record ProcessIdentity(String name, long incarnation)
        implements Comparable<ProcessIdentity> {
    @Override
    public int compareTo(ProcessIdentity other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }
}
