import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two engines is faulty: a few of its streams begin an event that has no end, in chunks of one byte. Others send
 * requests that are not idempotent to a sound service at the same machine.
 */
final class EndlessEvent extends Case {
    private static final int WINDOWS = 3;
    private static final int FAULT_SECONDS = 5;
    private static final int PAUSE_SECONDS = 4;
    private static final int STREAM_CALLERS = 12;
    private static final int CALLERS = 16;
    private static final int ANSWERS_PER_FAULT = 34;

    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger faults = new AtomicInteger();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger servedStreams = new AtomicInteger();
    private volatile boolean isFaulty;
    private volatile boolean isOver;

    /** An engine that never ends an event in one of {@link #ANSWERS_PER_FAULT} answers. */
    private final class FaultyEngine extends Worker {
        FaultyEngine() throws IOException {
            super(platform, record, "i-engine-faulty", Site.ENGINES, "rennes", 0, "decode", 20);
        }

        @Override
        boolean handle(HttpServer.Connection connection, Http.Message request)
            throws IOException, InterruptedException {
            boolean isStream = !request.target().startsWith("/-/");
            if (!isStream || !isFaulty || answers.incrementAndGet() % ANSWERS_PER_FAULT != 0 || !hasTrouble) {
                return super.handle(connection, request);
            }
            faults.incrementAndGet();
            String id = request.header("Nutmegspring-Request-Id");
            connection.send(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "Nutmegspring-Request-Id: " + id + "\r\n" + signature() + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            byte[] part = "1\r\nx\r\n".repeat(2000).getBytes(StandardCharsets.ISO_8859_1);
            int sent = 0;
            try {
                while (sent < 1_000_000) {
                    connection.send(part);
                    sent += 2000;
                }
            } finally {
                record.line("worker " + this.id + ": " + id + " was answered with " + sent + " bytes of an event without an end");
            }
            return false;
        }
    }

    public static void main(String[] arguments) throws Exception {
        new EndlessEvent().start(arguments);
    }

    @Override
    String run() throws Exception {
        Map<String, Object> stream = Site.streamRoute("/lohu930/");
        stream.put("resumable", false);
        stream.put("max_attempts", 1);
        List<Object> routes = List.of(stream, Site.deskRoute(DeskCallers.PATH, "non_idempotent", 1));
        platform.put("config", "main", Site.config(7, routes, List.of(Site.tenant("hule930", DeskCallers.KEY))));
        Worker faulty = new FaultyEngine();
        Worker sound = new Worker(platform, record, "i-engine-sound", Site.ENGINES, "brest", 0, "decode", 20);
        for (Worker engine : List.of(faulty, sound)) {
            engine.isRecorded = false;
            engine.register();
        }
        for (int i = 0; i < 4; i++) {
            new Worker(platform, record, "i-desk-" + i, Site.DESK, Site.ZONES.get(i % 2), 0, null, 200).register();
        }
        List<Gateway> gateways = new ArrayList<>();
        for (String zone : Site.ZONES) gateways.add(new Gateway("frontend-" + zone + "-1", zone, platform, record, directory));
        for (Gateway gateway : gateways) gateway.start();
        for (Gateway gateway : gateways) gateway.awaitReady(30);
        Thread.sleep(3000);
        Gateway gateway = gateways.get(0);
        DeskCallers callers = new DeskCallers(record, gateway, CALLERS);
        Thread.sleep(4000);
        for (int caller = 0; caller < STREAM_CALLERS; caller++) HttpServer.start(() -> stream(gateway));
        for (int window = 0; window < WINDOWS; window++) {
            isFaulty = true;
            Thread.sleep(FAULT_SECONDS * 1000L);
            isFaulty = false;
            Thread.sleep(PAUSE_SECONDS * 1000L);
        }
        isOver = true;
        record.line(streams.get() + " streams sent, " + servedStreams.get() + " answered with success; " + faults.get()
            + " of " + answers.get() + " answers of the faulty engine, in its faulty times, had no end");
        if (servedStreams.get() == 0) throw new IllegalStateException("no stream was served");
        return callers.end();
    }

    private void stream(Gateway gateway) {
        while (!isOver) {
            try (Client client = new Client(gateway.callerPort, 6000)) {
                while (!isOver) {
                    int number = streams.incrementAndGet();
                    int status = client.exchange(Client.head("POST", "/lohu930/2f", Site.HOST, "stream-" + number,
                        DeskCallers.KEY, "Nutmegspring-Model-Name: m", "Nutmegspring-Token-Usage: 300,4",
                        "Nutmegspring-Prefix-Hash: " + Integer.toHexString(number) + ":300",
                        "Nutmegspring-Deadline-Ms: 5000", "Content-Length: 0")).status();
                    if (status == 200) servedStreams.incrementAndGet();
                    record.line("client: stream-" + number + " is answered " + status);
                    Thread.sleep(100);
                }
            } catch (IOException closed) {
                record.line("client: a connection for streams ended: " + closed);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }
}
