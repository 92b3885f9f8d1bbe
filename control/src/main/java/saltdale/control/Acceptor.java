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
 * What a control node promised and accepted in ballots. Nothing is told of either before it is synced; what could not
 * be written is not told at all, and the ballot goes on without this control node.
 */
final class Acceptor {
    static final String RECORD = "acceptor";
    static final String TEXT = "text:";

    private final Environment environment;
    private final String id;
    private final Map<String, byte[]> origin = new LinkedHashMap<>(); // records without which a vote is of no use
    private Ballot promised = Ballot.NONE;
    private Ballot accepted = Ballot.NONE;
    private ReplicatedState state; // null until one was accepted
    private final NavigableMap<Long, Long> firstAccepted = new TreeMap<>(); // by version, when; those unknown yet
    private byte[] text; // of state.textKey; null where it names none
    private String synced = ""; // the text that is on disk for certain; none while another's write may take it away
    private String writing = ""; // the text of the newest write
    private long changes; // of the text that is written
    private final Set<String> written = new HashSet<>(); // those that may be
    private final List<Runnable> unwritten = new ArrayList<>(); // replies that wait for the next write
    private boolean diskBusy;

    Acceptor(Environment environment, String id) {
        this.environment = environment;
        this.id = id;
    }

    /**
     * Records that go with each vote until one is synced: the id, and the first voters. Guards against a vote that is
     * synced while their own write was refused: it would be lost with them.
     */
    void writeWithNextVote(Map<String, byte[]> records) {
        origin.putAll(records);
    }

    /** Takes over what was synced before. */
    void restore(Map<String, byte[]> records) throws MalformedMessage {
        byte[] record = records.get(RECORD);
        if (record == null) {
            return;
        }
        Fields from = new Fields(Trees.fromCbor(record));
        promised = Ballot.of(from, "p");
        accepted = Ballot.of(from, "a");
        state = from.has("s") ? ReplicatedState.of(from.object("s")) : null;
        if (state != null) {
            firstAccepted.put(state.version(), Long.MIN_VALUE / 2); // before this life
        }
        if (state != null && !state.textKey().isEmpty()) {
            text = records.get(TEXT + state.textKey());
            if (text == null) {
                throw new MalformedMessage("the text " + state.textKey() + " is missing on disk");
            }
            synced = state.textKey();
            writing = synced;
        }
        records.keySet().stream()
                .filter(name -> name.startsWith(TEXT))
                .forEach(name -> written.add(name.substring(TEXT.length())));
    }

    ReplicatedState acceptedState() {
        return state;
    }

    /** The version of the state accepted last; -1 where none was. */
    long acceptedVersion() {
        return state == null ? -1 : state.version();
    }

    /** When a state of a version above that was first accepted; what was accepted of it and below is forgotten. */
    long undecidedSince(long known) {
        firstAccepted.headMap(known, true).clear();
        return firstAccepted.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
    }

    byte[] acceptedText() {
        return text;
    }

    Ballot promisedBallot() {
        return promised;
    }

    /** Answers a ballot's first question, once what it promises is synced. */
    void prepare(Ballot ballot, String knownKey, Consumer<Reply> reply) {
        if (ballot.compareTo(promised) < 0) {
            reply.accept(new Refusal(id, ballot, promised));
            return;
        }
        promised = ballot;
        Ballot of = accepted;
        ReplicatedState told = state;
        byte[] toldText = told == null || told.textKey().equals(knownKey) ? null : text;
        persist(() -> reply.accept(new Promise(id, ballot, of, told, toldText)));
    }

    /**
     * Accepts what a ballot puts forward, unless another was promised; {@code newText} is null where we may have
     * it.
     */
    void accept(Ballot ballot, ReplicatedState next, byte[] newText, Consumer<Reply> reply) {
        if (ballot.compareTo(promised) < 0) {
            reply.accept(new Refusal(id, ballot, promised));
            return;
        }
        boolean have =
                next.textKey().isEmpty() || state != null && next.textKey().equals(state.textKey());
        if (!have && newText == null) {
            reply.accept(new TextNeeded(id, ballot));
            return;
        }
        promised = ballot;
        accepted = ballot;
        text = next.textKey().isEmpty() ? null : have ? text : newText;
        firstAccepted.tailMap(next.version(), false).clear(); // a later ballot found that these were not chosen
        firstAccepted.putIfAbsent(next.version(), environment.now());
        state = next;
        persist(() -> reply.accept(new Accepted(id, ballot)));
    }

    /**
     * Has what is promised and accepted written; {@code onSynced} runs once that outlasts a loss of power, else
     * never.
     */
    private void persist(Runnable onSynced) {
        unwritten.add(onSynced);
        if (!diskBusy) {
            write();
        }
    }

    /** One write for all that came while the last one was under way: a slow disk holds up no queue of ballots. */
    private void write() {
        diskBusy = true;
        List<Runnable> replies = List.copyOf(unwritten);
        unwritten.clear();
        String key = state == null ? "" : state.textKey();
        Map<String, byte[]> records = records(key);
        long of = changes;
        environment.persist(records, whole -> {
            if (whole && of == changes) {
                synced = key;
                written.removeIf(each -> !each.equals(key));
            }
            if (whole) {
                origin.clear(); // they are on disk now
                replies.forEach(Runnable::run);
            }
            diskBusy = false;
            if (!unwritten.isEmpty()) {
                write();
            }
        });
    }

    private Map<String, byte[]> records(String key) {
        Map<String, byte[]> records = new LinkedHashMap<>();
        records.putAll(origin);
        records.put(
                RECORD,
                Trees.toCbor(Fields.tree(
                        "p", promised.tree(), "a", accepted.tree(), "s", state == null ? null : state.tree())));
        if (!key.equals(writing)) {
            writing = key;
            synced = "";
            changes++;
        }
        // Guards against a text whose own write failed while a later one goes through: it goes along until one is
        // synced.
        if (!key.isEmpty() && !key.equals(synced)) {
            records.put(TEXT + key, text);
            written.add(key);
        }
        written.stream().filter(each -> !each.equals(key)).forEach(each -> records.put(TEXT + each, null));
        return records;
    }
}
