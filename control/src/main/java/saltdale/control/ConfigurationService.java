package saltdale.control;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * The operators' configuration: changes it by consensus, reads the newest version, and holds the version in force here.
 */
class ConfigurationService {
    /** Creates the service of a control node; tests supply faulty variants. */
    interface Factory {
        ConfigurationService create(
                Environment environment, ControlNodeSettings settings, ReplicatedRegister register, PeerContacts peers);
    }

    /** The response to an operator's request; {@code body} is {@code null} if there is none. */
    record Reply(int status, String reason, byte[] body) {}

    private static final byte[] EMPTY_CONFIGURATION =
            "{\"revision\":0,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8);
    private static final Reply APPLIED = new Reply(200, "taken", null);
    private static final Reply UNDECIDED =
            new Reply(503, "not decided: no majority answered in time, or the call failed here", null);
    private static final Reply OVERLOADED = new Reply(503, "too many calls wait here; this one was not begun", null);

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final ReplicatedRegister register;
    private final PeerContacts peers;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private ConfigurationVersion current; // the newest version known to be chosen
    private ConfigurationVersion proposed; // the result of the last update proposed here, which may be chosen next

    ConfigurationService(
            Environment environment, ControlNodeSettings settings, ReplicatedRegister register, PeerContacts peers) {
        this.environment = environment;
        this.settings = settings;
        this.register = register;
        this.peers = peers;
    }

    /** The newest configuration known to be chosen; {@code null} if there is none yet. */
    Configuration current() {
        return current == null ? null : current.configuration();
    }

    /** The newest configuration and the ones before it, for updates to proxies. */
    ConfigurationHistory history() {
        return history;
    }

    /** Called when a newer state was chosen. */
    void onChosen(ReplicatedState state, byte[] text) {
        if (text == null || state.revision() <= history.newestAgreedRevision()) {
            return;
        }
        try {
            ConfigurationVersion version = versionFor(state.textKey(), text);
            history.add(version.tree());
            current = version;
        } catch (InvalidConfiguration | RuntimeException | StackOverflowError | LinkageError e) {
            // Whatever is wrong with a version that is already agreed on, it must not stop what follows it.
            history.markUnreadable(state.revision());
            environment.check(
                    Invariant.CHOSEN_IS_VALID,
                    false,
                    () -> "revision " + state.revision() + ": " + Environment.describe(e));
        }
    }

    /** The version with this key; its text is parsed only if it is not at hand already. */
    ConfigurationVersion versionFor(String key, byte[] text) throws InvalidConfiguration {
        if (current != null && current.key().equals(key)) {
            return current;
        } else if (proposed != null && proposed.key().equals(key)) {
            return proposed;
        }
        return ConfigurationVersion.readAgreed(key, text);
    }

    /** Replaces the whole configuration, or amends it; {@code basedOn} is the revision that the change is based on. */
    void change(boolean isAmendment, String basedOn, byte[] body, Consumer<Reply> answer) {
        long baseRevision;
        try {
            baseRevision = Long.parseLong(basedOn == null ? "" : basedOn.strip());
        } catch (NumberFormatException e) {
            baseRevision = -1;
        }
        if (baseRevision < 0) {
            answer.accept(new Reply(400, "X-Saltdale-Based-On-Version is missing or not a number", null));
        } else {
            ConfigurationUpdate update = new ConfigurationUpdate(isAmendment, baseRevision, body);
            propose(update, reply -> answer.accept(checkAcknowledged(update, reply)));
        }
    }

    /**
     * Proposes an update; the answer follows once it is known to be applied or rejected, or the time limit has passed.
     */
    void propose(ConfigurationUpdate update, Consumer<Reply> answer) {
        boolean accepted = register.propose(
                (newest, text) -> applyUpdate(update, newest, text), update.bytes(), timeLimit(), reply -> {
                    proposed = null; // if it is chosen later all the same, it is read from its text
                    answer.accept(reply == null ? UNDECIDED : (Reply) reply);
                });
        if (!accepted) {
            answer.accept(OVERLOADED);
        }
    }

    /** Checks that an update that is reported as applied is part of the newest chosen state. */
    private Reply checkAcknowledged(ConfigurationUpdate update, Reply reply) {
        ReplicatedState chosen = register.chosen();
        boolean isRecorded = chosen != null
                && chosen.recentChanges().find(update.baseRevision(), update.digest())
                        == RecentChanges.LookupResult.APPLIED;
        environment.check(
                Invariant.ACKNOWLEDGED_IS_CHOSEN,
                reply.status() != APPLIED.status() || isRecorded,
                () -> "update based on revision " + update.baseRevision() + ", newest state known to be chosen: "
                        + chosen);
        return reply;
    }

    /**
     * Applies an update to a state. Whether the update was applied before is looked up first: no later check, of its
     * base revision or its content, may reject an update that was applied. The proposer answers only once the state is
     * known to be chosen, so that a rejection is final.
     */
    Proposer.ChangeResult applyUpdate(ConfigurationUpdate update, ReplicatedState newest, byte[] text) {
        RecentChanges.LookupResult lookup = newest.recentChanges().find(update.baseRevision(), update.digest());
        if (lookup == RecentChanges.LookupResult.APPLIED) {
            return Proposer.ChangeResult.unchanged(APPLIED);
        } else if (lookup == RecentChanges.LookupResult.FORGOTTEN) {
            return Proposer.ChangeResult.unchanged(new Reply(
                    503,
                    "updates are only remembered if they are based on revision "
                            + newest.recentChanges().coveredFrom() + " or later",
                    null));
        } else if (update.baseRevision() != newest.revision()) {
            return Proposer.ChangeResult.unchanged(
                    new Reply(412, "revision " + newest.revision() + " is in force", null));
        }
        try {
            ConfigurationVersion next =
                    update.applyTo(update.isAmendment() && text != null ? versionFor(newest.textKey(), text) : null);
            if (next.revision() <= newest.revision()) {
                throw new InvalidConfiguration("revision must be above " + newest.revision());
            }
            proposed = next;
            return new Proposer.ChangeResult(
                    newest.withConfiguration(next.revision(), next.key(), update.digest()), next.text(), APPLIED);
        } catch (InvalidConfiguration e) {
            return Proposer.ChangeResult.unchanged(new Reply(400, e.getMessage(), null));
        }
    }

    /** Reads the newest configuration, as confirmed by a majority. */
    void read(Consumer<Reply> answer) {
        boolean accepted =
                register.read(timeLimit(), result -> answer.accept(result == null ? UNDECIDED : replyTo(result)));
        if (!accepted) {
            answer.accept(OVERLOADED);
        }
    }

    private static Reply replyTo(ProposalQueue.ReadResult result) {
        return new Reply(200, "", result.text() == null ? EMPTY_CONFIGURATION : result.text());
    }

    /** The time limit of a ballot. A node without a majority answers early, so that the caller turns to another one. */
    private long timeLimit() {
        return peers.hasQuorum() ? settings.acknowledgeTimeoutNanos() * 3 / 5 : settings.acknowledgeTimeoutNanos() / 5;
    }
}
