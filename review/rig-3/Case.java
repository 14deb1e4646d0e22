import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** One case: runs it, writes the outcome to its record and ends the process with it. */
abstract class Case {
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Platform platform;
    Path directory;

    /** Runs the case. Returns how the rule was broken, or null if it held. */
    abstract String run() throws Exception;

    /** Runs the case and writes its record to the folder that the first of the arguments names. */
    void start(String[] arguments) throws IOException {
        record = new Record(Path.of(arguments[0], "record.txt"));
        directory = Files.createTempDirectory("review-case");
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        Thread limit = HttpServer.start(() -> {
            try {
                Thread.sleep(112_000);
                end(NOT_RUN, "not run: no result within 112 s");
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            record.line("disruption: " + (hasTrouble ? "on" : "off"));
            platform = new Platform(record);
            String broken = run();
            end(broken == null ? 0 : BROKEN, broken == null ? "held" : "broken: " + broken);
        } catch (Exception failed) {
            end(NOT_RUN, "not run: " + failed);
        } finally {
            limit.interrupt();
        }
    }

    private void end(int code, String result) {
        record.line("result: " + result);
        System.out.println(result);
        System.exit(code);
    }

    private void cleanUp() {
        Gateway.endAll();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : (Iterable<Path>) files.sorted(Comparator.reverseOrder())::iterator) Files.delete(file);
        } catch (IOException left) {
            record.line("not removed: " + left);
        }
    }
}
