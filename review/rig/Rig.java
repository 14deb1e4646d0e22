import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins of the platform, workers and clients, and the gateway processes that a case starts. */
final class Rig implements Closeable {
    static final String HOST = "desk.example";
    static final String KEY = "key-of-the-theatre";
    static final String TENANT = "theatre";
    private static final long START = System.nanoTime();
    private static final int LOWEST_PORT = 18_000;
    private static final int HIGHEST_PORT = 30_000;
    private static final Set<Integer> TAKEN_PORTS = ConcurrentHashMap.newKeySet();

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Path temporary;
    private final PrintWriter record;
    private final List<Closeable> parts = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();

    private static volatile Rig current;

    static {
        // A case that fails in itself has not shown anything: the exit code of an uncaught exception would be 1.
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            System.out.println("NOT RUN: " + failure);
            failure.printStackTrace();
            Rig rig = current;
            if (rig != null) rig.cannotRun(failure.toString());
            Runtime.getRuntime().halt(2);
        });
    }

    Rig(String caseFolder) throws IOException {
        folder = Path.of(caseFolder).toAbsolutePath();
        temporary = Files.createTempDirectory("nutmegspring-review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        current = this;
        note("trouble " + (hasTrouble ? "on" : "off"));
    }

    /** The time since the start of the case, in milliseconds. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    synchronized void note(String line) {
        record.printf(Locale.ROOT, "%8.3f %s%n", now() / 1000.0, line);
    }

    <T extends Closeable> T keep(T part) {
        parts.add(part);
        return part;
    }

    /** Ends the case. Exits with 1 if the rule was broken, 0 if it held. */
    void conclude(boolean isBroken, String text) {
        String line = (isBroken ? "BROKEN: " : "HELD: ") + text;
        note(line);
        System.out.println(line);
        close();
        Runtime.getRuntime().halt(isBroken ? 1 : 0);
    }

    void cannotRun(String text) {
        note("NOT RUN: " + text);
        System.out.println("NOT RUN: " + text);
        close();
        Runtime.getRuntime().halt(2);
    }

    private synchronized void endProcesses() {
        for (Gateway gateway : gateways) gateway.kill();
    }

    @Override
    public void close() {
        endProcesses();
        for (Closeable part : parts) {
            try {
                part.close();
            } catch (IOException ignored) {
                // The process ends next.
            }
        }
        record.flush();
        try (var files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // The folder is a temporary one.
        }
    }

    /** Returns a free port below the range that the system takes for outgoing connections. */
    static int freePort() throws IOException {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                if (TAKEN_PORTS.add(port)) return port;
            } catch (BindException taken) {
                // Another port is tried.
            }
        }
        throw new IOException("no port is free");
    }

    /** A message of HTTP/1.1 with its body. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean isComplete = true;

        String header(String name) {
            return headers.get(name);
        }

        int status() {
            String[] words = first.split(" ", 3);
            return words.length < 2 ? 0 : Integer.parseInt(words[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the channel ended within a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head, or returns null when the channel ended before it. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Message message = new Message();
        message.first = first;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the channel ended within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads a message, or returns null when the channel ended before it. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    message.isComplete = false;
                    break;
                }
                int size = Integer.parseInt(line.trim(), 16);
                byte[] chunk = in.readNBytes(size);
                body.write(chunk);
                readLine(in);
                if (size == 0) break;
                if (chunk.length < size) {
                    message.isComplete = false;
                    break;
                }
            }
            message.body = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = in.readNBytes(length);
            message.isComplete = message.body.length == length;
        }
        return message;
    }

    interface Handler {
        /** Answers [request] on [out]. Returns whether the channel stays open. */
        boolean answer(Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** A server of HTTP/1.1 with a thread for each channel. */
    static class Server implements Closeable {
        final String address;
        private final ServerSocket listener;
        private final Handler handler;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress("127.0.0.1", 0), 1024);
            address = "127.0.0.1:" + listener.getLocalPort();
            start(this::accept);
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    start(() -> serve(socket));
                } catch (IOException ended) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = read(in);
                    if (request == null || !request.isComplete) return;
                    if (!handler.answer(request, socket, socket.getOutputStream())) return;
                }
            } catch (IOException | RuntimeException ended) {
                // The caller has left.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    static void start(Runnable task) {
        Thread thread = new Thread(null, task, "rig", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static void write(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " " + (status < 300 ? "OK" : "Error") + "\r\n" + headers
            + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static void writeJson(OutputStream out, int status, String json) throws IOException {
        write(out, status, "Content-Type: application/json\r\n", json.getBytes(StandardCharsets.UTF_8));
    }

    /** The platform's store: objects by kind and name, conditional writes and watches. */
    static final class Store implements Closeable {
        private static final class Entry {
            String kind;
            String name;
            long revision;
            String spec;
            boolean isRemoved;

            String json() {
                return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                    + ",\"created\":1,\"finalizers\":[],\"deletion_pending\":false},\"spec\":" + spec
                    + ",\"status\":null}";
            }
        }

        final Server server;
        private final Map<String, Entry> objects = new TreeMap<>();
        private final List<Entry> history = new ArrayList<>();
        private long revision = 10;

        Store() throws IOException {
            server = new Server(this::answer);
        }

        synchronized void put(String kind, String name, String spec) {
            change(kind, name, spec, false);
        }

        synchronized void remove(String kind, String name) {
            if (objects.containsKey(kind + "/" + name)) change(kind, name, "{}", true);
        }

        private Entry change(String kind, String name, String spec, boolean isRemoved) {
            Entry entry = new Entry();
            entry.kind = kind;
            entry.name = name;
            entry.spec = spec;
            entry.revision = ++revision;
            entry.isRemoved = isRemoved;
            if (isRemoved) objects.remove(kind + "/" + name);
            else objects.put(kind + "/" + name, entry);
            history.add(entry);
            notifyAll();
            return entry;
        }

        private boolean answer(Message request, Socket socket, OutputStream out) throws IOException {
            String target = request.target();
            String[] parts = target.split("\\?", 2);
            Map<String, String> query = new LinkedHashMap<>();
            if (parts.length > 1) {
                for (String pair : parts[1].split("&")) query.put(pair.split("=")[0], pair.split("=", 2)[1]);
            }
            String[] path = parts[0].substring("/-/objects/".length()).split("/");
            String kind = path[0];
            String name = path.length > 1 ? path[1] : null;
            String body = request.text();
            switch (request.method()) {
                case "GET" -> {
                    if (query.containsKey("watch")) {
                        writeJson(out, 200, watch(kind, Long.parseLong(query.get("watch")),
                            Long.parseLong(query.getOrDefault("wait_ms", "0"))));
                    } else if (name != null) {
                        String found = find(kind, name);
                        writeJson(out, found == null ? 404 : 200, found == null ? "{}" : found);
                    } else {
                        writeJson(out, 200, list(kind));
                    }
                }
                case "POST" -> {
                    Matcher named = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
                    if (!named.find()) writeJson(out, 400, "{}");
                    else write(out, kind, named.group(1), body, true);
                }
                case "PUT" -> write(out, kind, name, body, false);
                case "DELETE" -> {
                    remove(kind, name);
                    writeJson(out, 200, "{}");
                }
                default -> writeJson(out, 400, "{}");
            }
            return true;
        }

        private synchronized String find(String kind, String name) {
            Entry found = objects.get(kind + "/" + name);
            return found == null ? null : found.json();
        }

        private synchronized String list(String kind) {
            StringBuilder items = new StringBuilder();
            for (Entry entry : objects.values()) {
                if (!entry.kind.equals(kind)) continue;
                if (items.length() > 0) items.append(',');
                items.append(entry.json());
            }
            return "{\"items\":[" + items + "],\"has_more\":false,\"at\":" + revision + "}";
        }

        private synchronized String watch(String kind, long since, long wait) {
            long end = now() + wait;
            while (true) {
                StringBuilder events = new StringBuilder();
                for (Entry entry : history) {
                    if (entry.revision <= since || !entry.kind.equals(kind)) continue;
                    if (events.length() > 0) events.append(',');
                    events.append("{\"tombstone\":").append(entry.isRemoved).append(",\"object\":")
                        .append(entry.json()).append('}');
                }
                long left = end - now();
                if (events.length() > 0 || left <= 0) return "{\"events\":[" + events + "],\"at\":" + revision + "}";
                try {
                    wait(left);
                } catch (InterruptedException interrupted) {
                    throw new IllegalStateException(interrupted);
                }
            }
        }

        private void write(OutputStream out, String kind, String name, String body, boolean isNew)
            throws IOException {
            String answer;
            int status;
            synchronized (this) {
                Entry current = objects.get(kind + "/" + name);
                Matcher expected = Pattern.compile("\"revision\"\\s*:\\s*(\\d+)").matcher(metadataOf(body));
                boolean isExpected = !expected.find() || current != null
                    && Long.parseLong(expected.group(1)) == current.revision;
                if (isNew ? current != null : current != null && !isExpected) {
                    status = 409;
                    answer = current.json();
                } else if (!isNew && current == null) {
                    status = 404;
                    answer = "{}";
                } else {
                    status = 200;
                    answer = change(kind, name, specOf(body), false).json();
                }
            }
            writeJson(out, status, answer);
        }

        private static String metadataOf(String body) {
            int spec = body.indexOf("\"spec\"");
            return spec < 0 ? body : body.substring(0, spec);
        }

        /** Returns the value of the last field, "spec". */
        private static String specOf(String body) {
            int at = body.indexOf("\"spec\"");
            String rest = body.substring(body.indexOf(':', at) + 1).trim();
            return rest.substring(0, rest.lastIndexOf('}')).trim();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** The platform's API for the duties. It accepts all calls and records them. */
    Server startCloud() throws IOException {
        return keep(new Server((request, socket, out) -> {
            note("platform: " + request.first + " holder " + request.header("Nutmegspring-Lease-Holder") + " fence "
                + request.header("Nutmegspring-Fencing-Token") + " " + request.text());
            writeJson(out, 200, "{}");
            return true;
        }));
    }

    Store startStore() throws IOException {
        return keep(new Store());
    }

    /** A worker that registers itself in the store and is handled by [handler]. */
    final class Worker implements Closeable {
        final String id;
        final Server server;
        private final Store store;
        private final String service;
        private final int slots;
        private final java.util.function.Supplier<String> more;
        private long sequence = 1;
        private volatile boolean isEnded;

        /** [more] returns further fields of the entry, each after a comma. */
        Worker(Store store, String service, String id, int slots, java.util.function.Supplier<String> more,
            Handler handler) throws IOException {
            this.id = id;
            this.store = store;
            this.service = service;
            this.slots = slots;
            this.more = more;
            server = new Server((request, socket, out) -> {
                String expected = request.header("Nutmegspring-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    Rig.write(out, 421, "Nutmegspring-Instance-Id: " + id + "\r\n", new byte[0]);
                    return true;
                }
                return handler.answer(request, socket, out);
            });
            beat();
            Rig.start(() -> {
                while (!isEnded) {
                    pause(1200);
                    if (!isEnded) beat();
                }
            });
        }

        synchronized void beat() {
            store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + server.address
                + "\",\"zone\":\"rennes\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"cold_ms\":0" + more.get() + ",\"sequence\":" + sequence++ + "}");
        }

        @Override
        public void close() throws IOException {
            isEnded = true;
            server.close();
        }
    }

    Worker startWorker(Store store, String service, String id, int slots, java.util.function.Supplier<String> more,
        Handler handler) throws IOException {
        return keep(new Worker(store, service, id, slots, more, handler));
    }

    /** The headers of a worker's answer to [request]: its id and a signature over status and body. */
    static String signed(Message request, int status, byte[] body) {
        return "Nutmegspring-Request-Id: " + request.header("Nutmegspring-Request-Id") + "\r\n"
            + "Nutmegspring-Response-Signature: " + signature(request.header("Nutmegspring-Request-Id"), status, body)
            + "\r\n";
    }

    static String signature(String id, int status, byte[] body) {
        return id + "." + status + "." + Integer.toHexString(java.util.Arrays.hashCode(body));
    }

    /** A process of the deploy file's gateway. */
    final class Gateway {
        final String name;
        final String callers;
        final String readiness;
        final String directory;
        private final Path settings;
        private final List<String> command;
        private Process process;

        Gateway(String name, String zone, String store, String cloud) throws IOException {
            this.name = name;
            callers = "127.0.0.1:" + freePort();
            readiness = "127.0.0.1:" + freePort();
            directory = "127.0.0.1:" + freePort();
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node_name|json", quote(name));
            values.put("zone|json", quote(zone));
            values.put("limits.bandwidth_mbps|json", "1000.0");
            values.put("bind_addresses.frontend|json", quote(callers));
            values.put("bind_addresses.readiness|json", quote(readiness));
            values.put("bind_addresses.directory|json", quote(directory));
            values.put("ip", "127.0.0.1");
            values.put("internal_ports.0", "" + freePort());
            values.put("internal_ports.1", "" + freePort());
            values.put("platform.address|json", quote(store));
            values.put("cloud_api.address|json", quote(cloud));
            String[][] bounds = {
                {"strict_revoke", "true"}, {"revoke_ms", "5000"}, {"config_apply_ms", "2000"}, {"drain_ms", "2000"},
                {"grace_s", "8"}, {"budget_ratio", "0.2"}, {"budget_extra", "52"}, {"budget_window_s", "10"},
                {"quota_window_s", "8"}, {"lease_ms", "3000"}, {"window_s", "5"}, {"usage_late_s", "10"},
                {"ttl_max_s", "5"}, {"evacuation_ms", "5000"}, {"cold_overage", "1.5"}, {"cold_slack", "5"},
            };
            for (String[] bound : bounds) values.put("bounds." + bound[0] + "|json", bound[1]);
            String text = Files.readString(Path.of("platform/settings.yml.template"));
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            if (text.contains("{{")) throw new IOException("a field of the settings is not known: " + text);
            settings = temporary.resolve(name + ".yaml");
            Files.writeString(settings, text);
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(
                Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) throw new IOException("the deploy file has no command");
            command = List.of(run.group(1).replace("/etc/nutmegspring/local.yaml", settings.toString()).split(" "));
        }

        synchronized void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("NUTMEGSPRING_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            String log = System.getenv("GATEWAY_LOG");
            File out = log == null ? temporary.resolve(name + ".log").toFile() : new File(log, name + ".log");
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(out));
            process = builder.start();
            note(name + ": process started");
        }

        /** Writes the settings file once more, as the platform does when they change. */
        void touchSettings() throws IOException {
            Files.writeString(settings, Files.readString(settings));
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitCode() {
            return process.isAlive() ? -1 : process.exitValue();
        }

        void signal(String signal) {
            note(name + ": SIG" + signal);
            try {
                new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
            } catch (IOException | InterruptedException failed) {
                throw new IllegalStateException(failed);
            }
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException ignored) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        boolean isReady() {
            try (Channel channel = new Channel(readiness, 1000)) {
                channel.send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
                Message answer = read(channel.in);
                return answer != null && answer.status() == 200;
            } catch (IOException notReady) {
                return false;
            }
        }

        boolean awaitReady(long milliseconds) {
            long end = now() + milliseconds;
            while (now() < end) {
                if (isReady()) {
                    note(name + ": ready");
                    return true;
                }
                pause(100);
            }
            return false;
        }
    }

    Gateway createGateway(String name, String zone, Store store, Server cloud) throws IOException {
        Gateway gateway = new Gateway(name, zone, store.server.address, cloud.address);
        synchronized (this) {
            gateways.add(gateway);
        }
        return gateway;
    }

    static String quote(String text) {
        return "\"" + text + "\"";
    }

    /** A client's channel. */
    static final class Channel implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;

        Channel(String address, int timeout) throws IOException {
            int colon = address.lastIndexOf(':');
            socket.connect(new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
                Integer.parseInt(address.substring(colon + 1))), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeout);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String requestHead(String method, String path, String id, long budget, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nNutmegspring-Request-Id: " + id
            + "\r\nNutmegspring-Deadline-Ms: " + budget + "\r\nAuthorization: Bearer " + KEY + "\r\n" + more;
    }

    /** The config: one streaming, one non-idempotent and one idempotent route, as on the site's sheet. */
    static String config(long version, String extraRoutes) {
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"ask\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/ask/\",\"kind\":\"streaming\","
            + "\"timeout_ms\":5000,\"objective_ms\":800,\"priority\":0,\"service\":\"assistant\",\"max_attempts\":2,"
            + "\"public\":false,\"session_affinity\":true,\"resumable\":false,\"gap_target_ms\":150},"
            + "{\"name\":\"issue\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/issue/\",\"kind\":\"non_idempotent\","
            + "\"timeout_ms\":3000,\"objective_ms\":386,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,"
            + "\"public\":false,\"session_affinity\":false},"
            + "{\"name\":\"lookup\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/lookup/\",\"kind\":\"idempotent\","
            + "\"timeout_ms\":3000,\"objective_ms\":386,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,"
            + "\"public\":false,\"session_affinity\":false}" + extraRoutes + "],\"services\":["
            + "{\"name\":\"assistant\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity\":526305,\"kv_token_bytes\":163840,"
            + "\"bandwidth_mbps\":2000000.0,\"moves\":true,\"backups\":true,\"stride\":11,\"most\":12,"
            + "\"kv_retention_s\":5.0,\"switch_s\":3.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,"
            + "\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\","
            + "\"tls\":false}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"" + TENANT + "\",\"api_keys\":[\"" + KEY
            + "\"],\"priority\":1,\"unit\":\"token_stream\",\"uncached_tokens\":200,\"rate_per_s\":458489,"
            + "\"burst\":458489}]}";
    }
}
