import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker crashes and its successor starts at the same address under a new id. The successor refuses the requests for
 * the earlier worker with 421; a fault makes it write some of these answers once more, late.
 */
final class RepeatedRefusal extends Case {
    private static final int ROUNDS = 6;
    private static final double FAULT_SECONDS = 4.5;
    private static final int CALLERS = 6;
    private static final String KEY = "i9n73hh2b9wu3fexd9dn";

    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private volatile boolean isOver;

    /** A worker that writes a second copy of its 421 answers where the next answer of the connection is expected. */
    private final class FaultyWorker extends Worker {
        private final double startedAt = record.now();

        FaultyWorker(String id, int port) throws IOException {
            super(platform, record, id, Site.DESK, "rennes", port, null, 60);
        }

        @Override
        boolean handle(HttpServer.Connection connection, Http.Message request)
            throws IOException, InterruptedException {
            answers.incrementAndGet();
            boolean isFaulty = hasTrouble && record.now() - startedAt < FAULT_SECONDS;
            if (isFaulty && connection.state != null) {
                record.line("worker " + id + ": writes its answer to " + connection.state + " once more, before that to "
                    + request.header("Nutmegspring-Request-Id"));
                copies.incrementAndGet();
                String copied = (String) connection.state;
                connection.state = null;
                List<String> headers = new ArrayList<>();
                headers.add("Nutmegspring-Instance-Id: " + id);
                headers.add("Nutmegspring-Request-Id: " + copied);
                connection.send(Http.answer(421, headers, new byte[0]));
            }
            return super.handle(connection, request);
        }

        @Override
        boolean misdirect(HttpServer.Connection connection, Http.Message request) throws IOException {
            if (record.now() - startedAt < FAULT_SECONDS) connection.state = request.header("Nutmegspring-Request-Id");
            return super.misdirect(connection, request);
        }
    }

    public static void main(String[] arguments) throws Exception {
        new RepeatedRefusal().start(arguments);
    }

    @Override
    String run() throws Exception {
        platform.put("config", "main", Site.config(7, List.of(Site.deskRoute("/tags/", "non_idempotent", 3)),
            List.of(Site.tenant("hule930", KEY))));
        FaultyWorker worker = new FaultyWorker("i-first", 0);
        worker.register();
        for (String zone : List.of("brest", "vannes", "quimper")) {
            new Worker(platform, record, "i-sound-" + zone, Site.DESK, zone, 0, null, 60).register();
        }
        List<Gateway> gateways = new ArrayList<>();
        for (String zone : Site.ZONES) gateways.add(new Gateway("frontend-" + zone + "-1", zone, platform, record, directory));
        for (Gateway gateway : gateways) gateway.start();
        for (Gateway gateway : gateways) gateway.awaitReady(30);
        for (Gateway gateway : gateways) {
            for (int caller = 0; caller < CALLERS; caller++) HttpServer.start(() -> call(gateway));
        }
        Thread.sleep(3000);
        for (int round = 1; round <= ROUNDS; round++) {
            int port = worker.port();
            String former = worker.id;
            worker.crash();
            worker = new FaultyWorker("i-round-" + round, port);
            worker.register();
            Thread.sleep(3600);
            platform.remove("servers", former);
            record.line("worker " + former + ": its entry is removed after three ping intervals of silence");
            Thread.sleep(1400);
        }
        isOver = true;
        Thread.sleep(2000);
        List<String> twice = new ArrayList<>();
        Worker.RUNS.forEach((request, workers) -> {
            if (workers.size() > 1) twice.add(request + " ran at " + workers);
        });
        record.line(sent.get() + " requests sent, " + answers.get() + " answers of the restarting worker, "
            + copies.get() + " of them written twice");
        twice.forEach(record::line);
        if (Worker.RUNS.size() < 1000) throw new IllegalStateException("only " + Worker.RUNS.size() + " requests ran");
        return twice.isEmpty() ? null : "TWICE: " + twice.size() + " requests that are not idempotent ran more than once";
    }

    /** Sends requests that are not idempotent on a kept connection, each with an id of its own. */
    private void call(Gateway gateway) {
        while (!isOver) {
            try (Client client = new Client(gateway.callerPort, 3000)) {
                while (!isOver) {
                    String id = "tag-" + sent.incrementAndGet();
                    String request = Client.head("POST", "/tags/2f", Site.HOST, id, KEY,
                        "Nutmegspring-Deadline-Ms: 1500", "Content-Length: 0");
                    int status = client.exchange(request).status();
                    if (status != 200) record.line("client: " + id + " is answered " + status);
                    Thread.sleep(60);
                }
            } catch (IOException closed) {
                record.line("client: a connection ended: " + closed);
                if (!pause()) return;
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(50);
            return true;
        } catch (InterruptedException ended) {
            return false;
        }
    }
}
