package postbeam.clients;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.channels.Channels;
import java.nio.channels.ReadableByteChannel;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RequestMemoryTest {
    private static final int GUARANTEED = RequestMemory.GUARANTEED_BYTES;

    private final RequestMemory memory = new RequestMemory(10_000);

    /** Guards against a budget that a way out does not give back. */
    @Test
    void releasedMemoryCanBeReservedAgain() {
        RequestMemory.Reservation first = memory.new Reservation();
        RequestMemory.Reservation second = memory.new Reservation();
        for (int i = 0; i < 100; i++) {
            assertTrue(first.resize(GUARANTEED + 10_000));
            assertFalse(second.resize(GUARANTEED + 1));
            first.release();
            first.release();
            assertTrue(second.resize(GUARANTEED + 10_000));
            assertTrue(second.resize(GUARANTEED + 1));
            assertTrue(first.resize(GUARANTEED + 9_999));
            second.release();
            first.release();
        }
    }

    /** Guards against small requests that large ones keep out. */
    @Test
    void guaranteedBytesAreReservedWhenTheBudgetIsExhausted() {
        assertTrue(memory.new Reservation().resize(GUARANTEED + 10_000));
        for (int i = 0; i < 100; i++) {
            assertTrue(memory.new Reservation().resize(GUARANTEED));
        }
    }

    @Test
    void refusedReservationKeepsWhatItHeld() {
        RequestMemory.Reservation first = memory.new Reservation();
        assertTrue(first.resize(GUARANTEED + 6_000));
        assertFalse(first.resize(GUARANTEED + 10_001));
        assertFalse(memory.new Reservation().resize(GUARANTEED + 4_001));
        assertTrue(memory.new Reservation().resize(GUARANTEED + 4_000));
    }

    /** Guards against memory that is reserved after the close, which nothing would give back. */
    @Test
    void closedReservationHoldsNothing() {
        RequestMemory.Reservation closed = memory.new Reservation();
        assertTrue(closed.resize(GUARANTEED + 10_000));
        closed.close();
        assertFalse(closed.resize(1));
        assertTrue(memory.new Reservation().resize(GUARANTEED + 10_000));
    }

    @Test
    void bodyOfAnySizeIsReadUnchanged() throws IOException {
        Random random = new Random(1);
        RequestMemory largeMemory = new RequestMemory(1 << 20);
        for (int size : new int[] {0, 1, 4095, 4096, 4097, 65_536}) {
            byte[] sent = new byte[size];
            random.nextBytes(sent);
            RequestBody body = new RequestBody(largeMemory.new Reservation());
            ReadableByteChannel channel = Channels.newChannel(new ByteArrayInputStream(sent));
            do {
                assertTrue(body.ensureSpace());
            } while (body.read(channel) >= 0);
            assertEquals(size, body.size());
            assertArrayEquals(sent, body.takeBytes());
        }
    }

    /** Guards against a body that goes on holding chunks after it was refused. */
    @Test
    void bodyIsRefusedOverTheBudgetAndGivesBackItsMemory() throws IOException {
        RequestBody body = new RequestBody(memory.new Reservation());
        ReadableByteChannel channel =
                Channels.newChannel(new ByteArrayInputStream(new byte[65_536]));
        while (body.ensureSpace()) {
            body.read(channel);
        }
        assertEquals(GUARANTEED + 8_192, body.size());
        body.discard();
        assertTrue(memory.new Reservation().resize(GUARANTEED + 10_000));
    }
}
