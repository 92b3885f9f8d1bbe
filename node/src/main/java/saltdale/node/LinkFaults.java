package saltdale.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * A failpoint for soak tests of real processes: drops messages to and from other processes of the system, as a cut
 * would. Off unless the environment variable names a file; its lines are {@code to HOST} and {@code from HOST}.
 */
final class LinkFaults {
    static final String VARIABLE = "SALTDALE_LINK_FAULTS";
    private static final long EVERY_MILLIS = 20; // the file is read again at most so often

    private final Path file; // null for none
    private final LongSupplier millis;
    private Set<String> lines = Set.of();
    private long readAt = Long.MIN_VALUE / 2;

    private LinkFaults(Path file, LongSupplier millis) {
        this.file = file;
        this.millis = millis;
    }

    /** Those of the environment; none where the variable is not set. {@code millis}: a steady clock. */
    static LinkFaults ofEnvironment(LongSupplier millis) {
        return of(System.getenv(VARIABLE), millis);
    }

    static LinkFaults of(String file, LongSupplier millis) {
        return new LinkFaults(file == null ? null : Path.of(file), millis);
    }

    boolean dropsTo(String host) {
        return file != null && lines().contains("to " + host);
    }

    boolean dropsFrom(String host) {
        return file != null && lines().contains("from " + host);
    }

    private Set<String> lines() {
        long now = millis.getAsLong();
        if (now - readAt >= EVERY_MILLIS) {
            readAt = now;
            try {
                lines = Set.copyOf(Files.readAllLines(file));
            } catch (IOException e) {
                lines = Set.of(); // it is not there while there are no faults
            }
        }
        return lines;
    }
}
