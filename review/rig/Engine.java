import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A model worker: reads prompts, generates streams at a steady pace, and changes its phase when it is ordered to. */
final class Engine {
    private static final AtomicLong HANDLES = new AtomicLong(0x3fa09c41b7d5L);

    private final Rig rig;
    private final Rig.Store store;
    private final String id;
    private final int events;
    private final long gap;
    private volatile String phase;
    private volatile Rig.Worker worker;

    Engine(Rig rig, Rig.Store store, String id, String phase, int events, long gap) throws IOException {
        this.rig = rig;
        this.store = store;
        this.id = id;
        this.phase = phase;
        this.events = events;
        this.gap = gap;
        register();
    }

    private void register() throws IOException {
        worker = rig.startWorker(store, "assistant", id, 64, this::more, this::answer);
    }

    private String more() {
        return ",\"phase\":\"" + phase + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    }

    private boolean answer(Rig.Message request, Socket socket, OutputStream out) throws IOException {
        String target = request.target();
        if (target.equals("/-/order")) return order(request, out);
        if (target.startsWith("/-/kv-handle/")) {
            Rig.writeJson(out, 200, "{}");
            return true;
        }
        if (target.startsWith("/-/report") || target.startsWith("/health")) {
            Rig.write(out, 200, "Nutmegspring-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        boolean isPrefill = "prefill".equals(request.header("Nutmegspring-Serving-Stage"));
        if (isPrefill != phase.equals("prefill")) {
            Rig.write(out, 421, "Nutmegspring-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (isPrefill) {
            Rig.writeJson(out, 200, "{\"handle\":\"" + Long.toHexString(HANDLES.incrementAndGet())
                + "\",\"tokens\":1460,\"version\":1}");
            return true;
        }
        return stream(request, out);
    }

    private boolean order(Rig.Message request, OutputStream out) throws IOException {
        Matcher wanted = Pattern.compile("\"phase\"\\s*:\\s*\"(\\w+)\"").matcher(request.text());
        rig.note(id + ": order " + request.text());
        if (!wanted.find()) {
            Rig.writeJson(out, 400, "{}");
            return true;
        }
        String next = wanted.group(1);
        Rig.writeJson(out, next.equals(phase) ? 200 : 202, "{}");
        phase = next;
        worker.beat();
        return true;
    }

    private boolean stream(Rig.Message request, OutputStream out) throws IOException {
        String request_id = request.header("Nutmegspring-Request-Id");
        rig.note(id + ": runs " + request_id);
        int made = 0;
        try {
            String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "Nutmegspring-Weight-Versions: 1\r\n" + Rig.signed(request, 200, new byte[0]) + "\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            for (made = 1; made <= events; made++) {
                String event = "id: " + made + "\ndata: token " + made + " of " + events + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                if (made < events) Rig.pause(gap);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            rig.note(id + ": completed " + request_id);
            return true;
        } catch (IOException cut) {
            rig.note(id + ": its channel was closed at event " + made + " of " + request_id);
            return false;
        }
    }
}
