import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients with kept channels send bodies within the config's limit, one after another. In the burst 1.9 times as many
 * clients as usual do so. Afterwards all have left, and a few clients send small requests.
 */
public final class BurstOfLargeBodies {
    private static final int USUAL_CLIENTS = 300;

    /** The clients that come in addition. The site file's `burst` has x = 1.9 for 14 s. */
    private static final int BURST_CLIENTS = 270;
    private static final long BURST_MILLISECONDS = 14_000;

    /** contact_ms, and the 5 s after a burst for which a choked machine counts as slowed. */
    private static final long PAUSE = 9_000;
    private static final int MINIMUM_BODY = 2_000;
    private static final int MAXIMUM_BODY = 2_000_000;
    private static final int SEED = "issue".hashCode();
    private static final int LATE_REQUESTS = 20;
    private static final int TIMEOUT = 3_000;

    public static void main(String[] arguments) throws IOException {
        Rig rig = new Rig(arguments[0]);
        Rig.Store store = rig.startStore();
        Rig.Server cloud = rig.startCloud();
        store.put("config", "main", Rig.config(7, ""));
        for (int number = 1; number <= 3; number++) {
            String id = "i-desk" + number;
            rig.startWorker(store, "desk", id, 6, () -> "", (request, socket, out) -> {
                String name = request.header("Nutmegspring-Request-Id");
                byte[] body = ("issued " + name).getBytes(StandardCharsets.UTF_8);
                rig.note(id + ": ran " + name + ", " + request.body.length + " bytes");
                Rig.write(out, 200, Rig.signed(request, 200, body), body);
                return true;
            });
        }
        Rig.Gateway gateway = rig.createGateway("frontend-rennes-1", "rennes", store, cloud);
        gateway.start();
        if (!gateway.awaitReady(20_000)) rig.cannotRun("the gateway is not ready");
        Rig.pause(2_000);
        sendLargeBodies(rig, gateway, USUAL_CLIENTS + (rig.hasTrouble ? BURST_CLIENTS : 0),
            Rig.now() + BURST_MILLISECONDS);
        Rig.pause(PAUSE);
        rig.note("the process is " + (gateway.isAlive() ? "alive" : "gone") + ", ready " + gateway.isReady());
        int unanswered = sendLateRequests(rig, gateway);
        rig.conclude(unanswered >= 8 && unanswered * 4 > LATE_REQUESTS, unanswered + " of " + LATE_REQUESTS
            + " requests sent " + PAUSE + " ms after all load had no final answer 0.5 s after their route's timeout_ms");
    }

    private static void sendLargeBodies(Rig rig, Rig.Gateway gateway, int clients, long end) {
        Rig.Channel[] channels = new Rig.Channel[clients];
        Random random = new Random(SEED);
        rig.note(clients + " clients begin");
        int answered = 0;
        int failed = 0;
        for (int turn = 0; Rig.now() < end; turn++) {
            int client = turn % clients;
            byte[] body = new byte[(int) (MINIMUM_BODY
                * Math.pow((double) MAXIMUM_BODY / MINIMUM_BODY, random.nextDouble()))];
            Arrays.fill(body, (byte) 'x');
            String id = "issue" + turn;
            long sentAt = Rig.now();
            String outcome;
            try {
                if (channels[client] == null) channels[client] = new Rig.Channel(gateway.callers, TIMEOUT + 500);
                // All clients leave at the end of the burst, also those that still wait.
                channels[client].socket.setSoTimeout((int) Math.max(1, Math.min(TIMEOUT + 500, end - Rig.now())));
                channels[client].send(Rig.requestHead("POST", "/issue/it", id, TIMEOUT,
                    "Content-Length: " + body.length + "\r\n\r\n"));
                channels[client].send(body);
                Rig.Message answer = Rig.read(channels[client].in);
                outcome = answer == null ? "the channel was closed" : "answered " + answer.status();
                if (answer == null) channels[client] = close(channels[client]);
                if (answer != null && answer.status() == 200) answered++;
                else failed++;
            } catch (IOException cut) {
                outcome = cut.toString();
                channels[client] = close(channels[client]);
                failed++;
            }
            rig.note("client " + client + ": " + id + ", " + body.length + " bytes, " + outcome
                + " after " + (Rig.now() - sentAt) + " ms");
        }
        for (Rig.Channel channel : channels) close(channel);
        rig.note("the clients have left; " + answered + " requests were answered 200, " + failed + " were not");
    }

    private static Rig.Channel close(Rig.Channel channel) {
        try {
            if (channel != null) channel.close();
        } catch (IOException ignored) {
            // It is closed all the same.
        }
        return null;
    }

    private static int sendLateRequests(Rig rig, Rig.Gateway gateway) {
        AtomicInteger unanswered = new AtomicInteger();
        Thread[] clients = new Thread[LATE_REQUESTS];
        for (int number = 0; number < LATE_REQUESTS; number++) {
            String id = "late" + number;
            clients[number] = new Thread(() -> {
                long sentAt = Rig.now();
                String outcome;
                try (Rig.Channel channel = new Rig.Channel(gateway.callers, TIMEOUT + 500)) {
                    channel.send(Rig.requestHead("GET", "/lookup/it", id, 20_000, "\r\n"));
                    Rig.Message answer = Rig.read(channel.in);
                    outcome = answer == null ? "the channel was closed" : "answered " + answer.status();
                } catch (SocketTimeoutException noAnswer) {
                    unanswered.incrementAndGet();
                    outcome = "no answer";
                } catch (IOException cut) {
                    outcome = cut.toString();
                }
                rig.note("client: " + id + " " + outcome + " after " + (Rig.now() - sentAt) + " ms");
            });
            clients[number].start();
            Rig.pause(50);
        }
        for (Thread client : clients) {
            try {
                client.join();
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }
        return unanswered.get();
    }
}
