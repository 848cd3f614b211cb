package postbeam.discovery;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import postbeam.roster.Told;
import postbeam.setup.Json;

/** The watch of the data-node list. */
public final class Watch {
    /** Bytes: the protocol's limit for a body. */
    private static final int LONGEST = 64 << 10;

    private Watch() {}

    public static LongPoll<Told> of(String address, int cells, Consumer<Told> told, IntFunction<Duration> pause) {
        return new LongPoll<>(new LongPoll.Source("discovery", address, "/v1/servers", LONGEST),
                body -> ListForm.read(Json.object(body), cells), Told::version, told, pause);
    }
}
