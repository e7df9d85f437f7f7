import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the seconds since its begin. */
final class Log {
    private final PrintWriter out;
    private final long began = System.nanoTime();

    Log(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - began) / 1e9;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    }
}
