package postbeam.discovery;

import java.util.function.Consumer;
import postbeam.roster.DiscoveryPacing;
import postbeam.roster.Told;
import postbeam.setup.Json;

/** The watch of the data-node list. */
public final class Watch {
    /**
     * Bytes: four times the protocol's limit for a body, as lists may come indented with nodes that
     * leave in them.
     */
    private static final int LONGEST = 256 << 10;

    private Watch() {}

    public static LongPoll<Told> of(
            String address, int cells, Consumer<Told> told, DiscoveryPacing.Pace pace) {
        return of(address, cells, told, pace, () -> {});
    }

    /** The last is run after each call, whether it told or failed. */
    public static LongPoll<Told> of(
            String address,
            int cells,
            Consumer<Told> told,
            DiscoveryPacing.Pace pace,
            Runnable followed) {
        return new LongPoll<>(
                new LongPoll.Source("discovery", address, "/v1/servers", LONGEST),
                body -> ListForm.read(Json.object(body), cells),
                Told::version,
                told,
                pace,
                followed);
    }
}
