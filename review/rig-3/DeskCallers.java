import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers that send requests which are not idempotent, one after another on kept connections, and count those that are
 * not answered in time: after their route's timeout, and half a second after it.
 */
final class DeskCallers {
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final String PATH = "/tags/";
    private static final double ROUTE_TIMEOUT = 1.5;
    private static final double ANSWER_MARGIN = 0.5;
    private static final int MINIMUM_LATE = 8;
    private static final int CALLER_TIMEOUT_MILLISECONDS = 3000;

    private final Record record;
    private final Gateway gateway;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean isOver;

    DeskCallers(Record record, Gateway gateway, int callers) {
        this.record = record;
        this.gateway = gateway;
        for (int caller = 0; caller < callers; caller++) HttpServer.start(this::call);
    }

    int served() {
        return served.get();
    }

    /** Ends the calls. Returns how the rule on the timeouts of routes was broken, or null if it held. */
    String end() throws InterruptedException {
        isOver = true;
        Thread.sleep(CALLER_TIMEOUT_MILLISECONDS + 500);
        record.line(sent.get() + " requests of the ordinary callers sent, " + served.get() + " answered with success; "
            + late.get() + " had no answer after their route's " + ROUTE_TIMEOUT + " s, " + unanswered.get()
            + " of them none " + ANSWER_MARGIN + " s later");
        if (served.get() == 0) throw new IllegalStateException("nothing was served");
        boolean isBroken = unanswered.get() >= MINIMUM_LATE && unanswered.get() * 2 > late.get();
        return isBroken ? "CONFIG: " + unanswered.get() + " of " + late.get()
            + " requests that lasted longer than their route's timeout have no answer half a second after it" : null;
    }

    private void call() {
        while (!isOver) {
            String id = "none";
            double sentAt = record.now();
            try (Client client = new Client(gateway.callerPort, CALLER_TIMEOUT_MILLISECONDS)) {
                while (!isOver) {
                    id = "tag-" + sent.incrementAndGet();
                    sentAt = record.now();
                    int status = client.exchange(Client.head("POST", PATH + "2f", Site.HOST, id, KEY,
                        "Nutmegspring-Deadline-Ms: " + CALLER_TIMEOUT_MILLISECONDS, "Content-Length: 0")).status();
                    double elapsed = record.now() - sentAt;
                    record.line(String.format("client: %s is answered %d after %.3f s", id, status, elapsed));
                    if (status == 200) served.incrementAndGet();
                    countLate(elapsed);
                    id = "none";
                    Thread.sleep(200);
                }
            } catch (IOException closed) {
                if (!id.equals("none")) count(id, record.now() - sentAt, closed);
                pause();
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    /** Counts a request whose connection ended. One that ended before the route's timeout is no late one. */
    private void count(String id, double elapsed, IOException closed) {
        record.line(String.format("client: %s, which %s, has no answer after %.3f s: %s", id,
            Worker.RUNS.containsKey(id) ? "ran" : "did not run", elapsed, closed));
        countLate(elapsed);
    }

    private void countLate(double elapsed) {
        if (elapsed > ROUTE_TIMEOUT) late.incrementAndGet();
        if (elapsed > ROUTE_TIMEOUT + ANSWER_MARGIN) unanswered.incrementAndGet();
    }

    private static void pause() {
        try {
            Thread.sleep(50);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
