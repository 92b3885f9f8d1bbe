package saltdale.control;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** The operators' configuration: changes by agreement, reads of the newest version, and the one in force here. */
class ConfigurationService {
    /** Makes the service of a control node. */
    interface Factory {
        ConfigurationService create(
                Environment environment, ControlNodeSettings settings, ReplicatedRegister register, PeerContacts peers);
    }

    /** An answer to an operator; {@code body} is null where it has none. */
    record Reply(int status, String reason, byte[] body) {}

    private static final byte[] EMPTY =
            "{\"revision\":0,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8);
    private static final Reply TAKEN = new Reply(200, "taken", null);
    private static final Reply UNSETTLED = new Reply(503, "no majority of the core answered in time", null);

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final ReplicatedRegister register;
    private final PeerContacts peers;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private ConfigurationVersion current; // the newest known to be chosen
    private ConfigurationVersion proposed; // what the last order here came to, which may be chosen next

    ConfigurationService(
            Environment environment, ControlNodeSettings settings, ReplicatedRegister register, PeerContacts peers) {
        this.environment = environment;
        this.settings = settings;
        this.register = register;
        this.peers = peers;
    }

    /** The newest configuration known to be chosen; null where there is none yet. */
    Configuration current() {
        return current == null ? null : current.configuration();
    }

    /** The newest configuration and those before it, as they are told to proxies. */
    ConfigurationHistory history() {
        return history;
    }

    /** A newer state was chosen. */
    void onChosen(ReplicatedState state, byte[] text) {
        if (text == null || current != null && state.revision() <= current.revision()) {
            return;
        }
        try {
            current = version(state.textKey(), text);
            history.add(ConfigurationTree.of(current.tree()));
        } catch (InvalidConfiguration | MalformedMessage e) {
            environment.check(
                    Invariant.CHOSEN_IS_VALID, false, () -> "revision " + state.revision() + ": " + e.getMessage());
        }
    }

    /** The version with this key; its text is read only where that was not done before. */
    private ConfigurationVersion version(String key, byte[] text) throws InvalidConfiguration {
        if (current != null && current.key().equals(key)) {
            return current;
        } else if (proposed != null && proposed.key().equals(key)) {
            return proposed;
        }
        return ConfigurationVersion.read(key, text);
    }

    /** Replaces the whole configuration, or amends it; {@code basedOn} is the version that the change builds on. */
    void change(boolean amends, String basedOn, byte[] body, Consumer<Reply> answer) {
        long base;
        try {
            base = Long.parseLong(basedOn == null ? "" : basedOn.strip());
        } catch (NumberFormatException e) {
            base = -1;
        }
        if (base < 0) {
            answer.accept(new Reply(400, "X-Saltdale-Based-On-Version is missing or no number", null));
        } else {
            ConfigurationUpdate order = new ConfigurationUpdate(amends, base, body);
            propose(order, reply -> answer.accept(checked(order, reply)));
        }
    }

    void propose(ConfigurationUpdate order, Consumer<Reply> answer) {
        register.propose(
                (newest, text) -> applyUpdate(order, newest, text),
                timeLimit(),
                reply -> answer.accept(reply == null ? UNSETTLED : (Reply) reply));
    }

    private Reply checked(ConfigurationUpdate order, Reply reply) {
        ReplicatedState chosen = register.chosen();
        boolean holdsIt = chosen != null
                && chosen.recentChanges().find(order.baseRevision(), order.digest())
                        == RecentChanges.LookupResult.APPLIED;
        environment.check(
                Invariant.ACKNOWLEDGED_IS_CHOSEN,
                reply.status() != TAKEN.status() || holdsIt,
                () -> "the order on " + order.baseRevision() + ", the newest state known to be chosen is " + chosen);
        return reply;
    }

    /**
     * What an order comes to on top of this state. Whether it was taken before is looked up first: no later check, of
     * its base or its content, may refuse an order that was taken. The proposer gives the answer once the state is
     * known to be chosen, so that a refusal holds for good.
     */
    Proposer.ChangeResult applyUpdate(ConfigurationUpdate order, ReplicatedState newest, byte[] text) {
        RecentChanges.LookupResult finding = newest.recentChanges().find(order.baseRevision(), order.digest());
        if (finding == RecentChanges.LookupResult.APPLIED) {
            return Proposer.ChangeResult.unchanged(TAKEN);
        } else if (finding == RecentChanges.LookupResult.FORGOTTEN) {
            return Proposer.ChangeResult.unchanged(new Reply(
                    503,
                    "orders are remembered from revision "
                            + newest.recentChanges().coveredFrom() + " on",
                    null));
        } else if (order.baseRevision() != newest.revision()) {
            return Proposer.ChangeResult.unchanged(
                    new Reply(412, "revision " + newest.revision() + " is in place", null));
        }
        try {
            ConfigurationVersion next =
                    order.applyTo(order.isAmendment() && text != null ? version(newest.textKey(), text) : null);
            if (next.revision() <= newest.revision()) {
                throw new InvalidConfiguration("revision is not above " + newest.revision());
            }
            proposed = next;
            return new Proposer.ChangeResult(
                    newest.withConfiguration(next.revision(), next.key(), order.digest()), next.text(), TAKEN);
        } catch (InvalidConfiguration e) {
            return Proposer.ChangeResult.unchanged(new Reply(400, e.getMessage(), null));
        }
    }

    /** Tells the newest configuration, as a majority knows it. */
    void read(Consumer<Reply> answer) {
        register.propose(
                (newest, text) -> Proposer.ChangeResult.unchanged(new Reply(200, "", text == null ? EMPTY : text)),
                timeLimit(),
                reply -> answer.accept(reply == null ? UNSETTLED : (Reply) reply));
    }

    /** Who has no majority says so soon, so that the caller goes to another. */
    private long timeLimit() {
        return peers.hasQuorum() ? settings.acknowledgeTimeoutNanos() * 3 / 5 : settings.acknowledgeTimeoutNanos() / 5;
    }
}
