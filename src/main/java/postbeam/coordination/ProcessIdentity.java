package postbeam.coordination;

/**
 * One run of a router's process.
 *
 * @param name as configured
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
