package review2;

import java.util.ArrayList;
import java.util.List;

/** Usual clients: a query each so many milliseconds, each on a connection of its own. */
final class Load {
    private final Trace trace;
    private final int port;
    private final List<Thread> threads = new ArrayList<>();
    private final List<Exchange> exchanges = new ArrayList<>();
    private volatile boolean over;

    /** The time that each client waits for its answer. */
    static final int DEADLINE_MILLIS = 3000;

    /** STANDING.md: an answer up to half a second late only earns nothing; 50 ms are PROTOCOL.md's. */
    static final int LOST_AFTER_MILLIS = DEADLINE_MILLIS + 500 + 50;

    Load(Trace trace, int port) {
        this.trace = trace;
        this.port = port;
    }

    /** Begins to send; every second query is of the second vertical. */
    Load start(int everyMillis, String first, String second) {
        Thread sender =
                Threads.daemon(
                        () -> {
                            try {
                                for (int i = 0; !over; i++) {
                                    send("u" + i, i % 2 == 0 ? first : second);
                                    Thread.sleep(everyMillis);
                                }
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        threads.add(sender);
        return this;
    }

    /** Begins with so many clients, each of which sends one query after the other. */
    Load startClients(int clients, int pauseMillis, String first, String second) {
        for (int i = 0; i < clients; i++) {
            String name = "c" + i + "-";
            threads.add(
                    Threads.daemon(
                            () -> {
                                try {
                                    for (int j = 0; !over; j++) {
                                        ask(name + j, j % 2 == 0 ? first : second);
                                        Thread.sleep(pauseMillis);
                                    }
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            }));
        }
        return this;
    }

    private synchronized void send(String id, String vertical) {
        threads.add(Threads.daemon(() -> ask(id, vertical)));
    }

    private void ask(String id, String vertical) {
        Exchange one = new Exchange(trace, port, id, true);
        trace.line("query " + id + " is sent, " + vertical);
        one.send(Exchange.query(vertical, id, DEADLINE_MILLIS, 0, "text-" + id));
        one.await(LOST_AFTER_MILLIS);
        synchronized (this) {
            exchanges.add(one);
        }
    }

    /** Ends sending, waits for the last answer, and returns all queries. */
    List<Exchange> finish() throws InterruptedException {
        over = true;
        Thread.sleep(200);
        List<Thread> all;
        synchronized (this) {
            all = new ArrayList<>(threads);
        }
        for (Thread thread : all) {
            thread.join(LOST_AFTER_MILLIS + 5000);
        }
        synchronized (this) {
            return new ArrayList<>(exchanges);
        }
    }

    /** How many of the queries ended with this status. */
    static long count(List<Exchange> exchanges, int status) {
        return exchanges.stream().filter(one -> one.status == status).count();
    }

    static String summary(List<Exchange> exchanges) {
        return exchanges.size()
                + " queries: 200 "
                + count(exchanges, 200)
                + ", 503 "
                + count(exchanges, 503)
                + ", 504 "
                + count(exchanges, 504)
                + ", without any answer "
                + count(exchanges, Exchange.NOTHING)
                + ", connection closed "
                + count(exchanges, Exchange.CLOSED)
                + ", not connected "
                + count(exchanges, Exchange.NOT_CONNECTED);
    }
}
