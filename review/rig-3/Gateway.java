import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An instance of the system as a process of its own, started with the command and the template of the deploy file. */
final class Gateway {
    private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_0-9.]+)(\\|json)?}}");
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> USED_PORTS = new HashSet<>();
    private static final List<Gateway> ALL = new ArrayList<>();

    final String name;
    final int callerPort;
    final int readinessPort;
    private final Record record;
    private final List<String> command;
    private final Path directory;
    private Process process;

    Gateway(String name, String zone, Platform platform, Record record, Path directory) throws IOException {
        this(name, zone, platform.storeAddress(), platform.dutiesAddress(), record, directory);
    }

    Gateway(String name, String zone, String store, String duties, Record record, Path directory) throws IOException {
        this.name = name;
        this.record = record;
        this.directory = directory;
        callerPort = freePort();
        readinessPort = freePort();
        Map<String, Object> fields = new HashMap<>();
        fields.put("node_name", name);
        fields.put("ip", "127.0.0.1");
        fields.put("zone", zone);
        fields.put("limits.bandwidth_mbps", 1000.0);
        fields.put("bind_addresses.frontend", "127.0.0.1:" + callerPort);
        fields.put("bind_addresses.readiness", "127.0.0.1:" + readinessPort);
        fields.put("bind_addresses.directory", "127.0.0.1:" + freePort());
        fields.put("internal_ports.0", freePort());
        fields.put("internal_ports.1", freePort());
        fields.put("platform.address", store);
        fields.put("cloud_api.address", duties);
        Object[] bounds = {
            "strict_revoke", true, "revoke_ms", 5000, "config_apply_ms", 2000, "drain_ms", 2000, "grace_s", 8,
            "budget_ratio", 0.2, "budget_extra", 52, "budget_window_s", 10, "quota_window_s", 8, "lease_ms", 3000,
            "window_s", 5, "usage_late_s", 10, "ttl_max_s", 5};
        for (int i = 0; i < bounds.length; i += 2) fields.put("bounds." + bounds[i], bounds[i + 1]);
        String deploy = Files.readString(DEPLOY_FILE);
        Path settings = directory.resolve(name + ".yml");
        Files.writeString(settings, render(Files.readString(Path.of(find(deploy, "template"))), fields));
        command = new ArrayList<>(Arrays.asList(find(deploy, "run").split(" +")));
        command.set(command.size() - 1, settings.toString());
        ALL.add(this);
    }

    private static String find(String deploy, String key) {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(deploy);
        if (!matcher.find()) throw new IllegalStateException("the deploy file has no " + key);
        return matcher.group(1);
    }

    private static String render(String template, Map<String, Object> fields) {
        return PLACEHOLDER.matcher(template).replaceAll(match -> {
            Object value = fields.get(match.group(1));
            String text = match.group(2) == null ? (value == null ? "" : value.toString()) : Json.write(value);
            return Matcher.quoteReplacement(text);
        });
    }

    /** Starts the process. */
    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        File log = directory.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        record.line(name + ": process " + process.pid() + " started");
    }

    /** Waits until the instance says that it is ready. */
    void awaitReady(int seconds) throws IOException, InterruptedException {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < until) {
            try (Client client = new Client(readinessPort, 1000)) {
                String query = Client.head("GET", "/-/readiness", "127.0.0.1", "ready", null);
                if (client.exchange(query).status() == 200) {
                    record.line(name + ": ready");
                    return;
                }
            } catch (IOException notYet) {
                // The process does not listen yet.
            }
            Thread.sleep(50);
        }
        List<String> log = Files.readAllLines(directory.resolve(name + ".log"));
        log.subList(Math.max(0, log.size() - 20), log.size()).forEach(line -> record.line(name + " log: " + line));
        String state = process.isAlive() ? "runs" : "ended with exit code " + process.exitValue();
        throw new IllegalStateException(name + " is not ready after " + seconds + " s; its process " + state);
    }

    Process process() {
        return process;
    }

    /** Ends all processes that were started here. */
    static void endAll() {
        for (Gateway gateway : ALL) {
            if (gateway.process == null) continue;
            gateway.process.destroyForcibly();
            try {
                gateway.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + RANDOM.nextInt(PORTS);
            if (!USED_PORTS.add(port)) continue;
            try (ServerSocket stream = new ServerSocket(port); DatagramSocket datagrams = new DatagramSocket(port)) {
                return stream.getLocalPort();
            } catch (IOException inUse) {
                // Another process has it.
            }
        }
    }
}
