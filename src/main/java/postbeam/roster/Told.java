package postbeam.roster;

import java.util.List;
import java.util.Map;

/**
 * What discovery told at once: a whole list or changes of one, and where each data node is reached.
 */
public record Told(
        long version, boolean whole, List<Entry> entries, Map<String, String> addresses) {}
