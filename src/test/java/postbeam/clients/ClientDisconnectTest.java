package postbeam.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.XnioWorker;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.QueryAction;

/** Clients that disconnect, or that send more while their query is served. */
@Timeout(30)
class ClientDisconnectTest {
    /** By the rules no attempt begins later than this after a disconnect. */
    private static final long MAX_NOTICE_MILLIS = 100;

    /** Id of a query that is refused as one of the same id is open. */
    private static final String REFUSED_ID = "refused";

    private static final byte[] VALUE = {'v'};
    private static final byte[] UNREAD_BYTES = new byte[3 << 20];

    /** A query that is served until the test ends it or its client disconnects. */
    private static final class OpenQuery implements PendingQuery {
        private final BlockingQueue<QueryAction> result = new LinkedBlockingQueue<>();
        private final CountDownLatch cancelled = new CountDownLatch(1);

        @Override
        public QueryAction serve() throws InterruptedException {
            return result.take();
        }

        @Override
        public void clientDisconnected() {
            cancelled.countDown();
            result.add(new QueryAction.ClientDisconnected());
        }

        @Override
        public void setClientCheck(Runnable check) {}

        void answer() {
            result.add(
                    new QueryAction.Answer(
                            true, List.of(new QueryAction.ShardValue(0, VALUE, null)), 0));
        }
    }

    private final BlockingQueue<OpenQuery> submitted = new LinkedBlockingQueue<>();
    private LoopbackQueryServer loopback;
    private XnioWorker worker;
    private Socket client;

    @BeforeEach
    void setUp() throws IOException {
        loopback =
                new LoopbackQueryServer(
                        new QueryServer.QueryHandler() {
                            @Override
                            public PendingQuery submit(ClientRequest request, Duration age) {
                                if (request.id().equals(REFUSED_ID)) {
                                    return null;
                                }
                                OpenQuery query = new OpenQuery();
                                submitted.add(query);
                                return query;
                            }

                            @Override
                            public boolean isReady() {
                                return true;
                            }
                        },
                        8);
        worker = loopback.worker;
        client = loopback.connect();
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(10));
    }

    @AfterEach
    void tearDown() throws IOException {
        client.close();
        loopback.close();
    }

    private static byte[] query(String id) {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        return ("POST /search HTTP/1.1\r\nHost: b\r\nReq-Id: "
                        + id
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private OpenQuery awaitSubmitted() throws InterruptedException {
        OpenQuery query = submitted.poll(10, TimeUnit.SECONDS);
        assertTrue(query != null, "the query was not submitted");
        return query;
    }

    /** Keeps the I/O thread from reading until the returned latch is released. */
    private CountDownLatch blockIoThread() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        worker.getIoThread()
                .execute(
                        () -> {
                            blocked.countDown();
                            try {
                                release.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        blocked.await();
        return release;
    }

    private String readStatus() throws IOException {
        return new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
    }

    /** Guards against attempts that begin after a disconnect behind bytes that are unread. */
    @Test
    void queryIsCancelledInTimeIfItsClientDisconnectsBehindManyBytes() throws Exception {
        client.getOutputStream().write(query("q"));
        OpenQuery query = awaitSubmitted();
        client.getOutputStream().write(UNREAD_BYTES);
        client.close();
        assertTrue(query.cancelled.await(MAX_NOTICE_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Guards against queries of clients that disconnected before the router read the request. */
    @Test
    void queryIsNotSubmittedIfItsClientDisconnectedBehindManyBytes() throws Exception {
        CountDownLatch release = blockIoThread();
        client.setSendBufferSize(2 * UNREAD_BYTES.length);
        client.getOutputStream().write(query("q"));
        client.getOutputStream().write(UNREAD_BYTES, 0, UNREAD_BYTES.length / 2);
        client.close();
        release.countDown();
        assertNull(submitted.poll(500, TimeUnit.MILLISECONDS));
    }

    @Test
    void floodingClientGetsAnErrorAndIsDisconnected() throws Exception {
        client.getOutputStream().write(query("q"));
        OpenQuery query = awaitSubmitted();
        client.getOutputStream().write(UNREAD_BYTES);
        assertEquals("HTTP/1.1 400", readStatus());
        assertTrue(query.cancelled.await(MAX_NOTICE_MILLIS, TimeUnit.MILLISECONDS));
        client.getInputStream().readAllBytes();
    }

    @Test
    void queryIsAnsweredIfAnotherLargeRequestFollowsIt() throws Exception {
        client.getOutputStream().write(query("q"));
        OpenQuery query = awaitSubmitted();
        client.getOutputStream().write(new byte[(64 + 8) << 10]);
        Thread.sleep(MAX_NOTICE_MILLIS);
        query.answer();
        assertEquals("HTTP/1.1 200", readStatus());
        assertEquals(1, query.cancelled.getCount());
    }

    /** Guards against the rest of a request that is read as one, its beginning being discarded. */
    @Test
    void refusedQueryEndsItsConnectionIfBytesBehindItWereDiscarded() throws Exception {
        CountDownLatch release = blockIoThread();
        client.getOutputStream().write(query(REFUSED_ID));
        client.getOutputStream().write(new byte[20 << 10]);
        release.countDown();
        String responses =
                new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(responses.startsWith("HTTP/1.1 400"), responses);
        assertEquals(0, responses.lastIndexOf("HTTP/1.1"), responses);
    }
}
