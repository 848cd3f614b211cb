package postbeam.shared;

/**
 * One run of a router's process: its configured name, and a number that is higher for each later
 * start.
 */
public record Who(String name, long incarnation) implements Comparable<Who> {
    @Override
    public int compareTo(Who other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }
}
