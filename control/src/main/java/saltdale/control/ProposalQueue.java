package saltdale.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What waits for a ballot of this control node: its own changes, the operators' changes, and reads of the state.
 * Changes are taken one for each ballot, the node's own ones first; any ballot answers all reads that waited when it
 * began. Whatever waits has a time limit of its own, and is answered when that has passed.
 */
class ProposalQueue {
    /** Creates the queue of a control node; tests supply faulty variants. */
    interface Factory {
        ProposalQueue create(Environment environment, Consumer<QueuedChange> onCurrentExpired);
    }

    /** A change that waits, or for which ballots are run. */
    final class QueuedChange {
        private final long number = ++changeCount;
        private final long queuedAt = environment.now();
        private final Proposer.Change change;
        private final int bytes;
        private final long deadline;
        private final Consumer<Object> onResult;
        private final Runnable cancelExpiry;

        private QueuedChange(Proposer.Change change, int bytes, long timeoutNanos, Consumer<Object> onResult) {
            this.change = change;
            this.bytes = bytes;
            this.deadline = environment.now() + timeoutNanos;
            this.onResult = onResult;
            cancelExpiry = environment.schedule(timeoutNanos, () -> expire(this));
        }

        /** The position of this change among all that were ever queued here. */
        long number() {
            return number;
        }

        long queuedAt() {
            return queuedAt;
        }

        Proposer.Change change() {
            return change;
        }

        long deadline() {
            return deadline;
        }

        boolean isExpired() {
            return environment.now() >= deadline;
        }

        /** Reports the result, {@code null} if it is undecided; called once. */
        void complete(Object result) {
            cancelExpiry.run();
            heldBytes -= bytes;
            environment.runGuarded(() -> onResult.accept(result));
        }
    }

    /** The state that a read returns: one that was chosen after the read began. */
    record ReadResult(ReplicatedState state, byte[] text) {}

    private record QueuedRead(
            long number, long queuedAt, long deadline, Consumer<ReadResult> onResult, Runnable cancelExpiry) {}

    /**
     * The most operators' changes that may wait. Each needs a ballot of its own with two disk writes, so no more could
     * be decided within their time limit.
     */
    static final int MAX_WAITING_CHANGES = 256;
    /** The most bytes that operators' changes may hold: four of the largest, a small part of the heap. */
    static final long MAX_WAITING_BYTES = 4L * ConfigurationCodec.MAX_TEXT_BYTES;
    /** The most reads that may wait; a process has file descriptors for fewer connections. */
    static final int MAX_WAITING_READS = 8192;
    /**
     * The number of reads, and of bytes, that are answered in one task. Between the tasks the event loop handles
     * messages and timers.
     */
    private static final int MAX_READS_PER_TASK = 256;

    private static final long MAX_READ_BYTES_PER_TASK = 4 << 20;

    private final Environment environment;
    private final Consumer<QueuedChange> onCurrentExpired;
    private final Deque<QueuedChange> ownChanges = new ArrayDeque<>();
    private final Set<QueuedChange> operatorChanges = new LinkedHashSet<>();
    private final Map<Long, QueuedRead> reads = new LinkedHashMap<>(); // by number
    private final Deque<Runnable> readAnswers = new ArrayDeque<>(); // of reads that have a result
    private long heldBytes; // of changes that wait, or for which ballots are run
    private long changeCount;
    private long readCount;

    /** {@code onCurrentExpired} is told of a change whose time limit passes after it was polled. */
    ProposalQueue(Environment environment, Consumer<QueuedChange> onCurrentExpired) {
        this.environment = environment;
        this.onCurrentExpired = onCurrentExpired;
    }

    // Changes.

    /** Adds a change of this node, ahead of all others: a repair must not wait for operators. */
    void addOwnChange(Proposer.Change change, long timeoutNanos, Consumer<Object> onResult) {
        ownChanges.addFirst(new QueuedChange(change, 0, timeoutNanos, onResult));
    }

    /** Adds an operator's change, which holds this number of bytes; returns false if too much waits already. */
    boolean offerChange(Proposer.Change change, int bytes, long timeoutNanos, Consumer<Object> onResult) {
        if (operatorChanges.size() >= MAX_WAITING_CHANGES || heldBytes + bytes > MAX_WAITING_BYTES) {
            return false;
        }
        heldBytes += bytes;
        operatorChanges.add(new QueuedChange(change, bytes, timeoutNanos, onResult));
        return true;
    }

    /** The number of the newest change. */
    long newestChange() {
        return changeCount;
    }

    /** Removes and returns the next change; {@code null} if none waits. */
    QueuedChange pollChange() {
        if (!ownChanges.isEmpty()) {
            return ownChanges.poll();
        } else if (operatorChanges.isEmpty()) {
            return null;
        }
        QueuedChange next = operatorChanges.iterator().next();
        operatorChanges.remove(next);
        return next;
    }

    private void expire(QueuedChange change) {
        if (ownChanges.remove(change) || operatorChanges.remove(change)) {
            change.complete(null);
        } else {
            onCurrentExpired.accept(change);
        }
    }

    // Reads.

    /** Adds a read; {@code onResult} gets {@code null} if it is undecided. Returns false if too many wait already. */
    boolean offerRead(long timeoutNanos, Consumer<ReadResult> onResult) {
        if (reads.size() + readAnswers.size() >= MAX_WAITING_READS) {
            return false;
        }
        long number = ++readCount;
        Runnable cancelExpiry = environment.schedule(timeoutNanos, () -> expireRead(number));
        long now = environment.now();
        reads.put(number, new QueuedRead(number, now, now + timeoutNanos, onResult, cancelExpiry));
        return true;
    }

    private void expireRead(long number) {
        QueuedRead expired = reads.remove(number);
        if (expired != null) {
            environment.runGuarded(() -> expired.onResult().accept(null));
        }
    }

    /** The number of the newest read; a ballot that begins now may answer the reads up to it, and no later ones. */
    long newestRead() {
        return readCount;
    }

    /** The deadline of the read that has waited longest; {@link Long#MAX_VALUE} if none waits. */
    long firstReadDeadline() {
        return reads.isEmpty()
                ? Long.MAX_VALUE
                : reads.values().iterator().next().deadline();
    }

    /** Answers the reads up to this number; {@code result} is {@code null} if it is undecided. */
    void answerReads(long lastNumber, ReadResult result) {
        List<QueuedRead> answered = new ArrayList<>();
        for (QueuedRead read : reads.values()) {
            if (read.number() > lastNumber) {
                break;
            }
            answered.add(read);
        }
        for (QueuedRead read : answered) {
            reads.remove(read.number());
            read.cancelExpiry().run();
            if (result != null) {
                environment.onAnsweredFrom(result.state(), read.queuedAt());
            }
            readAnswers.add(() -> read.onResult().accept(result));
        }
        if (!answered.isEmpty() && readAnswers.size() == answered.size()) {
            runReadAnswers(textBytes(result));
        }
    }

    private static int textBytes(ReadResult result) {
        return result == null || result.text() == null ? 0 : result.text().length;
    }

    private void runReadAnswers(int textBytes) {
        long count = Math.min(MAX_READS_PER_TASK, 1 + MAX_READ_BYTES_PER_TASK / (1 + textBytes));
        for (long i = 0; i < count && !readAnswers.isEmpty(); i++) {
            environment.runGuarded(readAnswers.poll());
        }
        if (!readAnswers.isEmpty()) {
            environment.schedule(0, () -> runReadAnswers(textBytes));
        }
    }

    // Both.

    boolean hasChange() {
        return !ownChanges.isEmpty() || !operatorChanges.isEmpty();
    }

    boolean hasRead() {
        return !reads.isEmpty();
    }

    /** Whether anything waits for a ballot. */
    boolean isWaiting() {
        return hasChange() || hasRead();
    }
}
