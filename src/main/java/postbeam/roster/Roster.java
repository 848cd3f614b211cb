package postbeam.roster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import postbeam.Decide;
import postbeam.state.DataNode;
import postbeam.state.Readiness;
import postbeam.state.Zone;

/**
 * The data nodes that one router was told of, by name: turns what a list says into facts for its
 * Decide.
 */
public final class Roster {
    /**
     * Nodes that are gone and still known: one that comes back soon finds what it was sent while
     * cold.
     */
    private static final int GONE_KEPT = 64;

    private final String ourZone;
    private final Map<String, DataNode> nodes = new LinkedHashMap<>();
    private final Map<String, Zone> zones = new LinkedHashMap<>();
    private final Map<DataNode, String> names = new IdentityHashMap<>();

    /** The longest gone first. */
    private final Set<DataNode> gone = new LinkedHashSet<>();

    public Roster(String ourZone) {
        this.ourZone = ourZone;
    }

    public DataNode node(String name) {
        return nodes.get(name);
    }

    public Collection<DataNode> nodes() {
        return nodes.values();
    }

    public String name(DataNode node) {
        return names.get(node);
    }

    /** Takes over a whole list, from which what is missing is gone, or changes of one. */
    public void listed(
            Duration now,
            List<Entry> entries,
            boolean whole,
            LongFunction<Duration> since,
            Decide decide) {
        Set<String> seen = new HashSet<>();
        for (Entry entry : entries) {
            seen.add(entry.name());
            DataNode node = nodes.get(entry.name());
            if (node == null) {
                if (entry.readiness() == Readiness.GONE) {
                    continue;
                }
                node =
                        new DataNode(
                                entry.cell(),
                                zones.computeIfAbsent(
                                        String.valueOf(entry.zone()),
                                        name -> new Zone(name.equals(ourZone))));
                nodes.put(entry.name(), node);
                names.put(node, entry.name());
            }
            listed(
                    now,
                    node,
                    entry.readiness(),
                    entry.startedMicros() == 0 ? null : since.apply(entry.startedMicros()),
                    decide);
        }
        if (whole) {
            for (Map.Entry<String, DataNode> known : new ArrayList<>(nodes.entrySet())) {
                if (!seen.contains(known.getKey())) {
                    DataNode node = known.getValue();
                    listed(now, node, Readiness.GONE, node.startedAt(), decide);
                }
            }
        }
        while (gone.size() > GONE_KEPT) {
            DataNode longest = gone.iterator().next();
            gone.remove(longest);
            nodes.remove(names.remove(longest));
        }
    }

    private void listed(
            Duration now, DataNode node, Readiness readiness, Duration startedAt, Decide decide) {
        decide.nodeListed(now, node, readiness, startedAt);
        if (readiness == Readiness.GONE) {
            gone.add(node);
        } else {
            gone.remove(node);
        }
    }
}
