package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class EndpointListStatusTest {
    private final AtomicInteger polls = new AtomicInteger();
    private final EndpointListStatus status = new EndpointListStatus(polls::incrementAndGet);

    @Test
    void rejectedListIsReportedUntilOneIsAccepted() {
        status.onResponse();
        assertEquals(Optional.empty(), status.warning());
        status.onRejectedResponse("too long");
        status.onNoResponse();
        assertEquals(Optional.of("the endpoint list is not followed: too long"), status.warning());
        status.onResponse();
        assertEquals(Optional.empty(), status.warning());
        assertEquals(4, polls.get());
    }
}
