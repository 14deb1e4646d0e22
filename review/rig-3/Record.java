import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with the seconds since the start. */
final class Record {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** The seconds since the start. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String text) {
        out.printf("%8.3f  %s%n", now(), text);
    }
}
