package saltdale.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import saltdale.serving.ServerConnection;

/**
 * Bounds the memory of the configurations that clients have yet to read. Responses with the same version share its
 * text, but a version is kept until its last reader has it, however slowly that reads. Beyond the bound the readers of
 * the oldest version lose their connections.
 */
final class UnreadConfigurations {
    /** A version that was sent, and the connections that may not have been read to its end. */
    private record SentVersion(byte[] text, Set<ServerConnection> readers) {}

    private final long limitBytes;
    private final Deque<SentVersion> versions = new ArrayDeque<>(); // oldest first
    private long closedReaders;

    /** The texts that are kept for readers have at most {@code limitBytes} together, or are a single one. */
    UnreadConfigurations(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Notes that a text was sent; called after the response. */
    void sent(ServerConnection connection, byte[] text) {
        if (connection.isFlushed()) {
            return;
        }
        if (versions.isEmpty() || versions.getLast().text() != text) {
            removeReadVersions();
            versions.addLast(new SentVersion(text, new LinkedHashSet<>()));
        }
        versions.getLast().readers().add(connection);
        while (versions.size() > 1 && heldBytes() > limitBytes) {
            closeReaders(versions.removeFirst());
        }
    }

    /** Lets go of the connections that have been read to their ends, or are closed; called from time to time. */
    void removeReadVersions() {
        versions.forEach(version -> version.readers().removeIf(ServerConnection::isFlushed));
        versions.removeIf(version -> version.readers().isEmpty());
    }

    private void closeReaders(SentVersion version) {
        for (ServerConnection reader : version.readers()) {
            closedReaders += reader.isFlushed() ? 0 : 1;
            reader.closeUnlessFlushed();
        }
    }

    /** The connection is closed and keeps nothing. */
    void closed(ServerConnection connection) {
        versions.forEach(version -> version.readers().remove(connection));
    }

    /** Returns how many bytes the texts have that are kept for readers, at most. */
    long heldBytes() {
        return versions.stream().mapToLong(version -> version.text().length).sum();
    }

    /** Returns how many connections were closed for an old version that they had not read. */
    long closedReaders() {
        return closedReaders;
    }
}
