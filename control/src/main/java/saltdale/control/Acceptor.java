package saltdale.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import saltdale.control.message.BallotMessage.Accepted;
import saltdale.control.message.BallotMessage.Promise;
import saltdale.control.message.BallotMessage.Refusal;
import saltdale.control.message.BallotMessage.Reply;
import saltdale.control.message.BallotMessage.TextNeeded;

/**
 * The acceptor of the consensus protocol: what this control node has promised and accepted. Replies are sent only after
 * the vote has been synced to disk; if a write fails, no reply is sent, and the ballot goes on without
 * this control node.
 */
final class Acceptor {
    static final String VOTE_RECORD = "acceptor";
    static final String TEXT_RECORD_PREFIX = "text:";
    /**
     * The most replies that wait for a disk that hangs. Beyond them no reply is made, as if it were lost: the ballots
     * that it would be for have ended long since.
     */
    private static final int MAX_PENDING_REPLIES = 1024;

    private final Environment environment;
    private final String id;
    private final Map<String, byte[]> initialRecords = new LinkedHashMap<>(); // records without which a vote is useless
    private Ballot promisedBallot = Ballot.NONE;
    private Ballot acceptedBallot = Ballot.NONE;
    private ReplicatedState acceptedState; // null until a state has been accepted
    /** The time of first acceptance, by version, of the versions not yet known to be chosen. */
    private final NavigableMap<Long, Long> firstAcceptedAt = new TreeMap<>();

    private byte[] acceptedText; // the text that the accepted state's textKey names; null if it names none
    /** The key of the text that is certainly on disk; empty while a pending write may remove it. */
    private String syncedTextKey = "";

    private String writingTextKey = ""; // key of the text in the newest write
    private long textGeneration; // counts the changes of the text to be written
    private final Set<String> possibleTextKeys = new HashSet<>(); // keys of the texts that may be on disk
    private final List<Runnable> pendingReplies = new ArrayList<>(); // replies to be sent after the next write
    private boolean diskBusy;

    Acceptor(Environment environment, String id) {
        this.environment = environment;
        this.id = id;
    }

    /**
     * Adds records that are written with each vote until one write is synced: the node id and the initial voters.
     * Without them a vote would be lost if it were synced after their own write had failed.
     */
    void writeWithNextVote(Map<String, byte[]> records) {
        initialRecords.putAll(records);
    }

    /** Restores the state that was synced before a restart. */
    void restore(Map<String, byte[]> records) throws MalformedMessage {
        byte[] voteRecord = records.get(VOTE_RECORD);
        if (voteRecord == null) {
            return;
        }
        Fields fields = new Fields(Trees.fromCbor(voteRecord));
        promisedBallot = Ballot.of(fields, "p");
        acceptedBallot = Ballot.of(fields, "a");
        acceptedState = fields.has("s") ? ReplicatedState.of(fields.object("s")) : null;
        if (acceptedState != null) {
            firstAcceptedAt.put(acceptedState.version(), Long.MIN_VALUE / 2); // before this process started
        }
        if (acceptedState != null && !acceptedState.textKey().isEmpty()) {
            acceptedText = records.get(TEXT_RECORD_PREFIX + acceptedState.textKey());
            if (acceptedText == null) {
                throw new MalformedMessage("the configuration text " + acceptedState.textKey() + " is missing on disk");
            }
            syncedTextKey = acceptedState.textKey();
            writingTextKey = syncedTextKey;
        }
        records.keySet().stream()
                .filter(name -> name.startsWith(TEXT_RECORD_PREFIX))
                .forEach(name -> possibleTextKeys.add(name.substring(TEXT_RECORD_PREFIX.length())));
    }

    /** The state accepted last; {@code null} if there is none. */
    ReplicatedState acceptedState() {
        return acceptedState;
    }

    /** The version of the state accepted last; -1 if there is none. */
    long acceptedVersion() {
        return acceptedState == null ? -1 : acceptedState.version();
    }

    /**
     * When a state of a version above {@code chosenVersion} was first accepted; {@link Long#MAX_VALUE} if there is
     * none. Forgets the times of that version and of older ones.
     */
    long undecidedSince(long chosenVersion) {
        firstAcceptedAt.headMap(chosenVersion, true).clear();
        return firstAcceptedAt.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
    }

    /** The configuration text of the accepted state; {@code null} if it names none. */
    byte[] acceptedText() {
        return acceptedText;
    }

    /** The highest ballot promised so far. */
    Ballot promisedBallot() {
        return promisedBallot;
    }

    /** Answers the prepare request of a ballot, once the promise is synced. */
    void prepare(Ballot ballot, String knownTextKey, Consumer<Reply> reply) {
        if (ballot.compareTo(promisedBallot) < 0) {
            reply.accept(new Refusal(id, ballot, promisedBallot));
            return;
        }
        promisedBallot = ballot;
        Ballot previousBallot = acceptedBallot;
        ReplicatedState previousState = acceptedState;
        byte[] previousText =
                previousState == null || previousState.textKey().equals(knownTextKey) ? null : acceptedText;
        persist(() -> reply.accept(new Promise(id, ballot, previousBallot, previousState, previousText)));
    }

    /**
     * Accepts the state that a ballot proposes, unless a later ballot was promised. {@code newText} is {@code null} if
     * this acceptor may already have the text.
     */
    void accept(Ballot ballot, ReplicatedState proposed, byte[] newText, Consumer<Reply> reply) {
        if (ballot.compareTo(promisedBallot) < 0) {
            reply.accept(new Refusal(id, ballot, promisedBallot));
            return;
        }
        boolean hasText = proposed.textKey().isEmpty()
                || acceptedState != null && proposed.textKey().equals(acceptedState.textKey());
        if (!hasText && newText == null) {
            reply.accept(new TextNeeded(id, ballot));
            return;
        }
        promisedBallot = ballot;
        acceptedBallot = ballot;
        acceptedText = proposed.textKey().isEmpty() ? null : hasText ? acceptedText : newText;
        firstAcceptedAt.tailMap(proposed.version(), false).clear(); // a later ballot found that these were not chosen
        firstAcceptedAt.putIfAbsent(proposed.version(), environment.now());
        acceptedState = proposed;
        persist(() -> reply.accept(new Accepted(id, ballot)));
    }

    /**
     * Writes the promised ballot and the accepted state to disk. {@code onSynced} runs once they would survive a power
     * failure, and never if the write fails.
     */
    private void persist(Runnable onSynced) {
        if (pendingReplies.size() < MAX_PENDING_REPLIES) {
            pendingReplies.add(onSynced);
        }
        if (!diskBusy) {
            write();
        }
    }

    /**
     * Writes everything that arrived during the previous write at once, so that ballots do not queue up behind
     * a slow disk.
     */
    private void write() {
        String key = acceptedState == null ? "" : acceptedState.textKey();
        Map<String, byte[]> records = recordsToWrite(key);
        long generation = textGeneration;
        List<Runnable> replies = List.copyOf(pendingReplies);
        pendingReplies.clear();
        diskBusy = true;
        environment.persist(records, succeeded -> {
            if (succeeded && generation == textGeneration) {
                syncedTextKey = key;
                possibleTextKeys.removeIf(textKey -> !textKey.equals(key));
            }
            if (succeeded) {
                initialRecords.clear(); // they are on disk now
                // A reply that fails must not keep the other ones, or the next write, from being made.
                replies.forEach(environment::runGuarded);
            }
            diskBusy = false;
            if (!pendingReplies.isEmpty()) {
                write();
            }
        });
    }

    private Map<String, byte[]> recordsToWrite(String key) {
        Map<String, byte[]> records = new LinkedHashMap<>();
        records.putAll(initialRecords);
        records.put(
                VOTE_RECORD,
                Trees.toCbor(Fields.tree(
                        "p",
                        promisedBallot.tree(),
                        "a",
                        acceptedBallot.tree(),
                        "s",
                        acceptedState == null ? null : acceptedState.tree())));
        if (!key.equals(writingTextKey)) {
            writingTextKey = key;
            syncedTextKey = "";
            textGeneration++;
        }
        // The write of a text may fail while a later write succeeds, so the text is included in each write until
        // one is synced.
        if (!key.isEmpty() && !key.equals(syncedTextKey)) {
            records.put(TEXT_RECORD_PREFIX + key, acceptedText);
            possibleTextKeys.add(key);
        }
        possibleTextKeys.stream()
                .filter(textKey -> !textKey.equals(key))
                .forEach(textKey -> records.put(TEXT_RECORD_PREFIX + textKey, null));
        return records;
    }
}
