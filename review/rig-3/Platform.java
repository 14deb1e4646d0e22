import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform: the metadata store, the operator's writes to it and the calls for duties. */
final class Platform {
    private static final class Event {
        final long revision;
        final boolean isRemoval;
        final Map<String, Object> object;

        Event(long revision, boolean isRemoval, Map<String, Object> object) {
            this.revision = revision;
            this.isRemoval = isRemoval;
            this.object = object;
        }
    }

    /** Answers the calls for duties. */
    interface Duties {
        /** Returns the status of the answer to a call. */
        int call(String path, String holder, long fence, Map<String, Object> body);
    }

    /** What answers the calls for duties; they are accepted without. */
    volatile Duties dutyCalls = (path, holder, fence, body) -> 200;

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final Map<String, List<Event>> events = new HashMap<>();
    private final Record record;
    private final HttpServer store;
    private final HttpServer duties;
    private long revision = 100;

    Platform(Record record) throws IOException {
        this.record = record;
        store = new HttpServer(0, this::handleStore);
        duties = new HttpServer(0, this::handleDuty);
    }

    String storeAddress() {
        return store.address();
    }

    String dutiesAddress() {
        return duties.address();
    }

    /** Creates or replaces an object, as operators and servers do. Returns when the store has accepted it. */
    synchronized void put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> known = objects(kind).get(name);
        change(kind, name, spec, known == null ? null : metadata(known));
    }

    /** Removes an object. */
    synchronized void remove(String kind, String name) {
        Map<String, Object> removed = objects(kind).remove(name);
        if (removed == null) return;
        revision++;
        events(kind).add(new Event(revision, true, removed));
        notifyAll();
    }

    private Map<String, Object> change(String kind, String name, Object spec, Map<String, Object> before) {
        revision++;
        Map<String, Object> metadata = Json.map(
            "name", name, "revision", revision, "created", before == null ? revision : before.get("created"),
            "finalizers", new ArrayList<>(), "deletion_pending", false);
        Map<String, Object> object = Json.map("metadata", metadata, "spec", spec, "status", null);
        objects(kind).put(name, object);
        events(kind).add(new Event(revision, false, object));
        notifyAll();
        return object;
    }

    private TreeMap<String, Map<String, Object>> objects(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private List<Event> events(String kind) {
        return events.computeIfAbsent(kind, k -> new ArrayList<>());
    }

    private static Map<String, Object> metadata(Map<String, Object> object) {
        return Json.object(object.get("metadata"));
    }

    private boolean handleStore(HttpServer.Connection connection, Http.Message request)
        throws IOException, InterruptedException {
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = parseQuery(target.length > 1 ? target[1] : "");
        String[] path = target[0].substring("/-/objects/".length()).split("/");
        String kind = path[0];
        String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : null;
        Object[] answer;
        if (request.method().equals("GET") && name == null && query.containsKey("watch")) {
            answer = watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
        } else {
            answer = apply(request, kind, name, query);
        }
        byte[] body = answer[1] == null ? new byte[0] : Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
        connection.send(Http.answer((Integer) answer[0], List.of("Content-Type: application/json"), body));
        return true;
    }

    private synchronized Object[] watch(String kind, long since, long waitMilliseconds) throws InterruptedException {
        long until = System.currentTimeMillis() + waitMilliseconds;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Event event : events(kind)) {
                if (event.revision > since) found.add(Json.map("tombstone", event.isRemoval, "object", event.object));
            }
            long left = until - System.currentTimeMillis();
            if (!found.isEmpty() || left <= 0) return new Object[] {200, Json.map("events", found, "at", revision)};
            wait(left);
        }
    }

    private synchronized Object[] apply(Http.Message request, String kind, String name, Map<String, String> query) {
        Map<String, Object> known = name == null ? null : objects(kind).get(name);
        switch (request.method()) {
            case "GET":
                if (name != null) return new Object[] {known == null ? 404 : 200, known};
                List<Object> items = new ArrayList<>();
                String after = query.getOrDefault("after", "");
                for (Map<String, Object> object : objects(kind).tailMap(after, after.isEmpty()).values()) items.add(object);
                return new Object[] {200, Json.map("items", items, "has_more", false, "at", revision)};
            case "POST": {
                Map<String, Object> sent = Json.object(Json.parse(request.text()));
                String created = (String) metadata(sent).get("name");
                known = objects(kind).get(created);
                if (known != null) return new Object[] {409, known};
                return new Object[] {200, change(kind, created, sent.get("spec"), null)};
            }
            case "PUT": {
                if (known == null) return new Object[] {404, null};
                Map<String, Object> sent = Json.object(Json.parse(request.text()));
                Object expected = metadata(sent).get("revision");
                if (expected != null && !expected.equals(metadata(known).get("revision"))) return new Object[] {409, known};
                if (known.get("spec").equals(sent.get("spec"))) return new Object[] {200, known};
                return new Object[] {200, change(kind, name, sent.get("spec"), metadata(known))};
            }
            default:
                if (known == null) return new Object[] {404, null};
                remove(kind, name);
                return new Object[] {200, known};
        }
    }

    private boolean handleDuty(HttpServer.Connection connection, Http.Message request) throws IOException {
        String holder = request.header("Nutmegspring-Lease-Holder");
        String fence = request.header("Nutmegspring-Fencing-Token");
        int status = dutyCalls.call(request.target(), holder, Long.parseLong(fence), Json.object(Json.parse(request.text())));
        record.line("platform: " + request.target() + " holder " + holder + " fence " + fence + " " + request.text()
            + " is answered " + status);
        connection.send(Http.answer(status, List.of("Keep-Alive: timeout=5"), new byte[0]));
        return true;
    }

    private static Map<String, String> parseQuery(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String part : query.split("&")) {
            String[] pair = part.split("=", 2);
            if (pair.length == 2) parameters.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return parameters;
    }
}
