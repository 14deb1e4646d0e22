import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of four workers of a plain service are faulty: after some complete answers they send additional bytes, the
 * beginning of a second answer that breaks off. All workers run their requests and answer each whole.
 */
public final class TruncatedExtraAnswer {
    /** An answer of a worker that sheds, as the wire page shows it, cut off within its last line. */
    private static final String EXTRA = "HTTP/1.1 503 Service Unavailable\r\nNutmegspring-Not-Executed: 1";
    private static final int REQUESTS = 400;

    /** One answer in this many of a faulty worker is followed by additional bytes; the site's `garble` has 0.03. */
    private static final int EXTRA_EVERY = 34;
    private static final int FAULTY_WORKERS = 2;

    public static void main(String[] arguments) throws IOException {
        Rig rig = new Rig(arguments[0]);
        Rig.Store store = rig.startStore();
        Rig.Server cloud = rig.startCloud();
        store.put("config", "main", Rig.config(7, ""));
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        for (int number = 1; number <= 4; number++) {
            String id = "i-desk" + number;
            boolean isFaulty = number <= FAULTY_WORKERS && rig.hasTrouble;
            AtomicInteger answered = new AtomicInteger();
            rig.startWorker(store, "desk", id, 6, () -> "", (request, socket, out) -> {
                String name = request.header("Nutmegspring-Request-Id");
                runs.computeIfAbsent(name, key -> new AtomicInteger()).incrementAndGet();
                boolean hasExtra = isFaulty && answered.incrementAndGet() % EXTRA_EVERY == 0;
                Rig.pause(20);
                byte[] body = ("issued " + name + " by " + id).getBytes(StandardCharsets.UTF_8);
                rig.note(id + ": ran " + name + ", answers 200 on channel " + socket.getPort()
                    + (hasExtra ? ", then " + EXTRA.length() + " additional bytes" : ""));
                Rig.write(out, 200, Rig.signed(request, 200, body), body);
                if (hasExtra) {
                    out.write(EXTRA.getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
                return true;
            });
        }
        Rig.Gateway gateway = rig.createGateway("frontend-rennes-1", "rennes", store, cloud);
        gateway.start();
        if (!gateway.awaitReady(20_000)) rig.cannotRun("the gateway is not ready");
        Rig.pause(2_000);

        Map<String, Integer> statuses = new TreeMap<>();
        try (Rig.Channel channel = new Rig.Channel(gateway.callers, 5_000)) {
            for (int number = 0; number < REQUESTS; number++) {
                String id = "issue" + number;
                channel.send(Rig.requestHead("POST", "/issue/it", id, 3000, "Content-Length: 3\r\n\r\nabc"));
                Rig.Message answer = Rig.read(channel.in);
                if (answer == null) rig.cannotRun("the gateway closed the channel");
                statuses.put(id, answer.status());
                rig.note("client: " + id + " answered " + answer.status() + " | " + answer.text());
                Rig.pause(30);
            }
        }
        List<String> twice = new ArrayList<>();
        List<String> refused = new ArrayList<>();
        for (String id : statuses.keySet()) {
            int count = runs.containsKey(id) ? runs.get(id).get() : 0;
            if (count > 1) twice.add(id);
            if (count > 0 && statuses.get(id) == 503) refused.add(id);
        }
        rig.conclude(!twice.isEmpty() || !refused.isEmpty(), "TWICE: " + twice.size()
            + " non-idempotent requests ran twice " + twice + "; REFUSED: " + refused.size()
            + " were answered 503 and had run " + refused + "; of " + REQUESTS);
    }
}
