import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a worker: a plain service, or an engine where it has a phase. */
class Worker {
    /** What was run by all workers: the ids of the workers by request. */
    static final Map<String, List<String>> RUNS = new ConcurrentHashMap<>();

    final String id;
    final String service;
    final String zone;
    private final Platform platform;
    private final Record record;
    private final int workMilliseconds;
    private final HttpServer server;
    private final AtomicInteger handles = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final int slots;
    private volatile String phase;
    private long sequence = 1;

    /** Whether each run is written to the record. */
    volatile boolean isRecorded = true;

    Worker(Platform platform, Record record, String id, String service, String zone, int port, String phase,
        int workMilliseconds) throws IOException {
        this.platform = platform;
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.phase = phase;
        this.workMilliseconds = workMilliseconds;
        slots = phase == null ? 6 : 64;
        server = new HttpServer(port, this::handle);
    }

    int port() {
        return server.port();
    }

    /** Writes the entry of the worker to the store. */
    synchronized void register() {
        Map<String, Object> entry = Site.entry(service, server.address(), zone, slots, phase);
        entry.put("sequence", sequence++);
        platform.put("servers", id, entry);
        record.line("worker " + id + ": entry written, " + server.address() + (phase == null ? "" : ", " + phase));
    }

    /** Ends at once, as a crash does. Its entry stays. */
    void crash() throws IOException {
        record.line("worker " + id + ": crashes");
        server.close();
    }

    boolean handle(HttpServer.Connection connection, Http.Message request) throws IOException, InterruptedException {
        if (request.target().startsWith("/-/")) return handleCall(connection, request);
        String expected = request.header("Nutmegspring-Expect-Instance");
        if (expected != null && !expected.equals(id)) return misdirect(connection, request);
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            connection.send(Http.answer(503, headers(request, "Nutmegspring-Not-Executed: 1"), new byte[0]));
            return true;
        }
        try {
            return run(connection, request);
        } finally {
            running.decrementAndGet();
        }
    }

    boolean misdirect(HttpServer.Connection connection, Http.Message request) throws IOException {
        record.line("worker " + id + ": answers 421 to " + request.header("Nutmegspring-Request-Id") + " for "
            + request.header("Nutmegspring-Expect-Instance"));
        connection.send(Http.answer(421, headers(request, "Nutmegspring-Instance-Id: " + id), new byte[0]));
        return true;
    }

    private boolean run(HttpServer.Connection connection, Http.Message request)
        throws IOException, InterruptedException {
        if (phase != null && "prefill".equals(request.header("Nutmegspring-Serving-Stage"))) return prefill(connection, request);
        if ("prefill".equals(phase)) return misdirect(connection, request);
        String requestId = request.header("Nutmegspring-Request-Id");
        RUNS.computeIfAbsent(requestId, key -> java.util.Collections.synchronizedList(new ArrayList<>())).add(id);
        if (isRecorded) {
            record.line("worker " + id + ": runs " + requestId + " for the tenant "
                + request.header("Nutmegspring-Tenant-Id"));
        }
        onRun(request);
        Thread.sleep(workMilliseconds);
        if (phase == null) {
            connection.send(Http.answer(200, headers(request, signature()), ("run by " + id).getBytes(StandardCharsets.UTF_8)));
            return true;
        }
        StringBuilder events = new StringBuilder();
        for (int event = 1; event <= 4; event++) events.append("id: ").append(event).append("\ndata: token\n\n");
        List<String> headers = headers(request, signature());
        headers.add("Content-Type: text/event-stream");
        connection.send(Http.answer(200, headers, events.toString().getBytes(StandardCharsets.UTF_8)));
        return true;
    }

    /** Called when a request begins to run. */
    void onRun(Http.Message request) {
    }

    private boolean prefill(HttpServer.Connection connection, Http.Message request)
        throws IOException, InterruptedException {
        Thread.sleep(workMilliseconds);
        String tokens = request.header("Nutmegspring-Token-Usage").split(",")[0];
        String body = "{\"handle\":\"" + id + "h" + handles.incrementAndGet() + "\",\"tokens\":" + tokens + ",\"version\":1}";
        List<String> headers = headers(request);
        headers.add("Content-Type: application/json");
        connection.send(Http.answer(200, headers, body.getBytes(StandardCharsets.UTF_8)));
        return true;
    }

    private boolean handleCall(HttpServer.Connection connection, Http.Message request) throws IOException {
        int status = 200;
        if (request.target().equals("/-/order")) {
            record.line("worker " + id + ": order " + request.text());
            phase = (String) Json.object(Json.parse(request.text())).get("phase");
            status = 202;
            register();
        }
        connection.send(Http.answer(status, List.of(), new byte[0]));
        return true;
    }

    static String signature() {
        return "Nutmegspring-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1";
    }

    static List<String> headers(Http.Message request, String... more) {
        List<String> headers = new ArrayList<>(List.of(more));
        headers.add("Nutmegspring-Request-Id: " + request.header("Nutmegspring-Request-Id"));
        return headers;
    }
}
