import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** What a case has sent, received and run, with the seconds since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    synchronized void log(String line) {
        out.printf("%8.3f %s%n", seconds(), line.replace("\r", "\\r").replace("\n", "\\n"));
        out.flush();
    }

    /** The seconds since the start of the case. */
    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
