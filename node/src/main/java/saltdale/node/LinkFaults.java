package saltdale.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Fault injection for soak tests with real processes: drops messages to and from other processes of the system, as a
 * network partition would. Disabled unless the environment variable {@link #FILE_VARIABLE} names a file. The lines of
 * the file are {@code to HOST} and {@code from HOST}.
 */
final class LinkFaults {
    static final String FILE_VARIABLE = "SALTDALE_LINK_FAULTS";
    private static final long RELOAD_INTERVAL_MILLIS = 20; // the file is not reloaded more often than this

    private final Path file; // null if fault injection is disabled
    private final LongSupplier clockMillis;
    private Set<String> lines = Set.of();
    private long readAt = Long.MIN_VALUE / 2;

    private LinkFaults(Path file, LongSupplier clockMillis) {
        this.file = file;
        this.clockMillis = clockMillis;
    }

    /** Reads the file name from the environment variable; {@code clockMillis} is a monotonic clock. */
    static LinkFaults fromEnvironment(LongSupplier clockMillis) {
        return ofFile(System.getenv(FILE_VARIABLE), clockMillis);
    }

    /** Injects the faults that a file lists, or none if {@code file} is null. */
    static LinkFaults ofFile(String file, LongSupplier clockMillis) {
        return new LinkFaults(file == null ? null : Path.of(file), clockMillis);
    }

    /** Returns whether messages to this host are dropped. */
    boolean dropsTo(String host) {
        return file != null && lines().contains("to " + host);
    }

    /** Returns whether messages from this host are dropped. */
    boolean dropsFrom(String host) {
        return file != null && lines().contains("from " + host);
    }

    private Set<String> lines() {
        long now = clockMillis.getAsLong();
        if (now - readAt >= RELOAD_INTERVAL_MILLIS) {
            readAt = now;
            try {
                lines = Set.copyOf(Files.readAllLines(file));
            } catch (IOException e) {
                lines = Set.of(); // the file does not exist while there are no faults
            }
        }
        return lines;
    }
}
