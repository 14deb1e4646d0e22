import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One gateway is stopped with SIGTERM; streams that were sent shortly after it last until 6.55 s after it. */
public final class LongAnswerAtStop {
    private static final int STREAMS = 8;
    private static final int EVENTS = 41;
    private static final long GAP = 111;
    private static final long LENGTH = (EVENTS - 1) * GAP;

    /** The streams end this long after SIGTERM: before the last sixth of grace_s, which begins at 6.667 s. */
    private static final long END = 6560;

    public static void main(String[] arguments) throws IOException {
        Rig rig = new Rig(arguments[0]);
        Rig.Store store = rig.startStore();
        Rig.Server cloud = rig.startCloud();
        store.put("config", "main", Rig.config(7, ""));
        for (int number = 1; number <= 3; number++) {
            new Engine(rig, store, "i-engine" + number, "decode", EVENTS, GAP);
        }
        Rig.Gateway gateway = rig.createGateway("frontend-rennes-1", "rennes", store, cloud);
        Rig.Gateway other = rig.createGateway("frontend-rennes-2", "rennes", store, cloud);
        gateway.start();
        other.start();
        if (!gateway.awaitReady(20_000) || !other.awaitReady(20_000)) rig.cannotRun("the gateways are not ready");
        Rig.pause(12_000);

        List<Rig.Channel> channels = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) channels.add(new Rig.Channel(gateway.callers, 20_000));
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        long stoppedAt = Rig.now();
        if (rig.hasTrouble) gateway.signal("TERM");
        Rig.pause(stoppedAt + END - LENGTH - Rig.now());
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            String id = "stream" + number;
            Rig.Channel channel = channels.get(number);
            Thread client = new Thread(() -> ask(rig, channel, id, stoppedAt, whole, broken));
            client.start();
            clients.add(client);
            Rig.pause(5);
        }
        for (Thread client : clients) join(client);
        Rig.pause(stoppedAt + 9_000 - Rig.now());
        rig.note("the stopped process is " + (gateway.isAlive() ? "alive" : "gone, exit " + gateway.exitCode()));
        rig.conclude(broken.get() > 0, whole + " streams complete, " + broken + " ended without a complete answer, of "
            + STREAMS + " sent " + (END - LENGTH) + " ms after SIGTERM");
    }

    private static void ask(Rig rig, Rig.Channel channel, String id, long stoppedAt, AtomicInteger whole,
        AtomicInteger broken) {
        long sentAt = Rig.now();
        try (channel) {
            rig.note("client: sends " + id + ", " + (sentAt - stoppedAt) + " ms after the signal");
            channel.send(Rig.requestHead("POST", "/ask/it", id, 5000, "Nutmegspring-Model-Name: m\r\n"
                + "Nutmegspring-Token-Usage: 1460,80\r\n"
                + "Nutmegspring-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Length: 4\r\n\r\nask!"));
            Rig.Message answer = Rig.read(channel.in);
            String body = answer == null ? "" : new String(answer.body, StandardCharsets.ISO_8859_1);
            boolean isWhole = answer != null && answer.isComplete && body.contains("token " + EVENTS + " of");
            if (answer != null && answer.isComplete && answer.status() != 200) {
                rig.note("client: " + id + " was answered " + answer.status() + " " + body);
                return;
            }
            (isWhole ? whole : broken).incrementAndGet();
            rig.note("client: " + id + (isWhole ? " complete" : " BROKEN OFF") + " after " + (Rig.now() - sentAt)
                + " ms, " + (Rig.now() - stoppedAt) + " ms after the signal, " + body.split("data:").length
                + " pieces");
        } catch (IOException cut) {
            broken.incrementAndGet();
            rig.note("client: " + id + " BROKEN OFF after " + (Rig.now() - sentAt) + " ms, "
                + (Rig.now() - stoppedAt) + " ms after the signal: " + cut);
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
