package saltdale.control;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

/** The operators' configuration: changes by agreement, reads of the newest version, and the one in force here. */
final class ConfigurationService {
    /** An answer to an operator; {@code body} is null where it has none. */
    record Reply(int status, String why, byte[] body) {}

    private static final byte[] EMPTY =
            "{\"revision\":0,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8);
    private static final Reply TAKEN = new Reply(200, "taken", null);
    private static final Reply UNSETTLED = new Reply(503, "no majority of the core answered in time", null);

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final ReplicatedRegister register;
    private final PeerContacts peers;
    private Configuration current;
    private final ConfigurationHistory history = new ConfigurationHistory();

    ConfigurationService(
            Environment environment, ControlNodeSettings settings, ReplicatedRegister register, PeerContacts peers) {
        this.environment = environment;
        this.settings = settings;
        this.register = register;
        this.peers = peers;
    }

    /** The newest configuration known to be chosen; null where there is none yet. */
    Configuration current() {
        return current;
    }

    /** The newest configuration and those before it, as they are told to proxies. */
    ConfigurationHistory history() {
        return history;
    }

    /** A newer state was chosen. */
    void chosen(ReplicatedState state, byte[] text) {
        if (text == null || current != null && state.revision() <= current.revision()) {
            return;
        }
        try {
            Map<String, Object> tree = ConfigurationCodec.read(text);
            current = new Configuration(new Fields(tree));
            history.add(ConfigurationTree.of(tree));
        } catch (InvalidConfiguration | MalformedMessage e) {
            environment.note("revision " + state.revision() + " cannot be read: " + e.getMessage());
        }
    }

    /** Replaces the whole configuration, or amends it; {@code basedOn} is the version that the change builds on. */
    void change(boolean amends, String basedOn, byte[] body, Consumer<Reply> answer) {
        long base;
        Map<String, Object> tree;
        try {
            base = Long.parseLong(basedOn == null ? "" : basedOn.strip());
            tree = ConfigurationCodec.read(body);
            if (!amends) {
                new Configuration(new Fields(tree));
            }
        } catch (NumberFormatException e) {
            answer.accept(new Reply(400, "X-Saltdale-Based-On-Version is missing or no number", null));
            return;
        } catch (InvalidConfiguration e) {
            answer.accept(new Reply(400, e.getMessage(), null));
            return;
        }
        String digest = ConfigurationCodec.digest(
                new byte[] {(byte) (amends ? 1 : 0)}, Long.toString(base).getBytes(StandardCharsets.UTF_8), body);
        register.propose(
                (newest, text) -> change(newest, text, amends, base, tree, digest),
                timeLimit(),
                reply -> answer.accept(reply == null ? UNSETTLED : (Reply) reply));
    }

    private static Proposer.Step change(
            ReplicatedState newest, byte[] text, boolean amends, long base, Map<String, Object> tree, String digest) {
        if (newest.recentChangeDigests().contains(digest)) {
            return Proposer.Step.stay(TAKEN);
        } else if (base != newest.revision()) {
            return Proposer.Step.stay(new Reply(412, "revision " + newest.revision() + " is in place", null));
        }
        try {
            Map<String, Object> whole = !amends
                    ? tree
                    : ConfigurationCodec.amended(
                            text == null ? Map.of() : ConfigurationCodec.read(text), new Fields(tree));
            Configuration next = new Configuration(new Fields(whole));
            if (next.revision() <= newest.revision()) {
                throw new InvalidConfiguration("revision is not above " + newest.revision());
            }
            byte[] newText = ConfigurationCodec.write(whole);
            String key = next.revision() + "-" + ConfigurationCodec.digest(newText);
            return new Proposer.Step(newest.withText(next.revision(), key, digest), newText, TAKEN);
        } catch (InvalidConfiguration e) {
            return Proposer.Step.stay(new Reply(400, e.getMessage(), null));
        }
    }

    /** Tells the newest configuration, as a majority knows it. */
    void read(Consumer<Reply> answer) {
        register.propose(
                (newest, text) -> Proposer.Step.stay(new Reply(200, "", text == null ? EMPTY : text)),
                timeLimit(),
                reply -> answer.accept(reply == null ? UNSETTLED : (Reply) reply));
    }

    /** Who has no majority says so soon, so that the caller goes to another. */
    private long timeLimit() {
        return peers.hasQuorum() ? settings.acknowledge() * 3 / 5 : settings.acknowledge() / 5;
    }
}
