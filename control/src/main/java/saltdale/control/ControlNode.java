package saltdale.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import saltdale.control.message.BallotMessage;
import saltdale.control.message.ContactMessage.ContactProbe;
import saltdale.control.message.ContactMessage.ContactReply;
import saltdale.control.message.HeartbeatMessage.Heartbeat;
import saltdale.control.message.HeartbeatMessage.HeartbeatAck;
import saltdale.control.message.HeartbeatMessage.PeerIdentity;
import saltdale.control.message.InstanceMessage.DemandReport;
import saltdale.control.message.InstanceMessage.InstanceReady;
import saltdale.control.message.InstanceMessage.InstanceUpdates;
import saltdale.control.message.InstanceMessage.StartIntents;
import saltdale.control.message.Message;
import saltdale.control.message.SessionMessage.ControlNodeLeaving;
import saltdale.control.message.SessionMessage.LeaseExpired;
import saltdale.control.message.SessionMessage.LeaseGrant;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.QuorumLost;
import saltdale.control.message.SessionMessage.SnapshotRequest;

/**
 * One replica of the control plane: takes part in the consensus, keeps the leases of proxies, sends them their news,
 * and, while it holds the duty, starts and stops instances. No I/O and no clock of its own.
 */
public final class ControlNode {
    /** An answer to an operator; {@code body} is null where it has none. */
    public record Reply(int status, String why, byte[] body) {
        private static Reply of(ConfigurationService.Reply reply) {
            return new Reply(reply.status(), reply.why(), reply.body());
        }
    }

    private static final long SOON = Environment.millis(5); // several changes that come at once are told of once
    static final String IDENTITY = "identity"; // record of the id
    private static final String BEGUN = "begun"; // the state from which all began

    private final Environment environment;
    private final ControlNodeSettings nodeSettings;
    private final String id;
    private final ReplicatedRegister register;
    private final PeerContacts peers;
    private final DutyElection election;
    private final VoterChanges voterChanges;
    private final ConfigurationService configurations;
    private final InstanceLifecycle instanceLifecycle;
    private final MembershipTable members;
    private final InstanceTable instances;
    private final DemandTable demand;
    private final Subscriptions subscriptions;
    private boolean proposing;
    private boolean ending;
    private Runnable onLeft; // set once this control node is about to end and has given up its duties
    private boolean left;
    private boolean spreading;

    /** The parts of which tests bring wrong variants. */
    record Parts(ConfigurationService.Factory configurations, VoterChanges.Factory voterChanges) {
        static final Parts REAL = new Parts(ConfigurationService::new, VoterChanges::new);
    }

    /** {@code records} are those on disk; where there are none the control node is new, or has lost them. */
    public ControlNode(
            Environment environment, ControlNodeSettings nodeSettings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        this(environment, nodeSettings, platform, records, Parts.REAL);
    }

    ControlNode(
            Environment environment,
            ControlNodeSettings nodeSettings,
            Platform platform,
            Map<String, byte[]> records,
            Parts parts)
            throws MalformedMessage {
        this.environment = environment;
        this.nodeSettings = nodeSettings;
        String life = Long.toHexString(environment.chance().nextLong());
        boolean first = nodeSettings.firstStart()
                && records.isEmpty()
                && nodeSettings.seeds().contains(nodeSettings.host());
        id = records.containsKey(IDENTITY)
                ? new String(records.get(IDENTITY), StandardCharsets.UTF_8)
                : first
                        ? Voter.firstId(nodeSettings.host())
                        : Long.toHexString(environment.chance().nextLong());
        register = new ReplicatedRegister(environment, id, life, this::chosen);
        peers = new PeerContacts(
                environment,
                nodeSettings,
                new PeerIdentity(id, nodeSettings.name(), nodeSettings.host(), life),
                register);
        election = new DutyElection(environment, nodeSettings, register, peers, id, life);
        voterChanges = parts.voterChanges().of(environment, nodeSettings, peers, election, id);
        configurations = parts.configurations().of(environment, nodeSettings, register, peers);
        members = new MembershipTable(nodeSettings.memberLease() + nodeSettings.heartbeat() * 3 / 10);
        instances = new InstanceTable(8 * nodeSettings.heartbeat(), 40 * nodeSettings.heartbeat());
        demand = new DemandTable(3 * nodeSettings.heartbeat());
        subscriptions = new Subscriptions(
                environment, nodeSettings, configurations.history(), members, instances, peers::hasQuorum);
        instanceLifecycle = new InstanceLifecycle(environment, this, platform, nodeSettings);
        restore(records);
    }

    private void restore(Map<String, byte[]> records) throws MalformedMessage {
        register.restore(records);
        ReplicatedState begun = nodeSettings.firstStart()
                ? ReplicatedState.first(nodeSettings.seeds().stream()
                        .sorted()
                        .map(host -> new Voter(Voter.firstId(host), host, host))
                        .toList())
                : records.containsKey(BEGUN)
                        ? ReplicatedState.of(new Fields(Trees.fromCbor(records.get(BEGUN))))
                        : null;
        if (begun != null) {
            register.first(begun);
        }
        if (!records.containsKey(IDENTITY)) {
            Map<String, byte[]> own = new HashMap<>(Map.of(IDENTITY, id.getBytes(StandardCharsets.UTF_8)));
            if (begun != null) {
                // Guards against all being killed before any has accepted a state: none would know whom to ask.
                own.put(BEGUN, Trees.cbor(begun.tree()));
            }
            register.writeWithVotes(own);
            persistIdentity(own);
        }
    }

    /** Guards against a disk that is full at the first start: the id and the voters known must be found again. */
    private void persistIdentity(Map<String, byte[]> own) {
        environment.persist(own, whole -> {
            if (!whole) {
                environment.after(nodeSettings.heartbeat(), () -> persistIdentity(own));
            }
        });
    }

    public void begin() {
        heartbeat();
        tick();
        instanceLifecycle.start();
    }

    // What others of the program see.

    String name() {
        return nodeSettings.name();
    }

    InstanceTable instances() {
        return instances;
    }

    DemandTable demand() {
        return demand;
    }

    /** The newest configuration known to be chosen; null where there is none yet. */
    Configuration configuration() {
        return configurations.current();
    }

    int voters() {
        return register.basis() == null ? 1 : register.basis().voters().size();
    }

    /** Whether this control node holds the duty and knows that nobody can have taken it over. */
    boolean holds() {
        return election.holdsDuty();
    }

    long fence() {
        return election.fence();
    }

    /** Whether a majority of voters answered what was sent within the lease; a process that stood still has none. */
    public boolean hasMajority() {
        return peers.hasQuorum();
    }

    // Heartbeats.

    private void heartbeat() {
        sendHeartbeats();
        environment.after(nodeSettings.heartbeat() / 3, this::heartbeat);
    }

    private void sendHeartbeats() {
        peers.sendHeartbeats(ending, members.news(), members.over(environment.now()));
    }

    /** Others hear soon who has come or gone: owners that know it at different times grant the same slots. */
    private void membersChanged() {
        if (!spreading) {
            spreading = true;
            environment.after(SOON, () -> {
                spreading = false;
                publish();
                sendHeartbeats();
            });
        }
    }

    private void heard(Heartbeat heartbeat) {
        long edition = members.edition();
        members.merge(heartbeat.renewals(), environment.now());
        members.areOver(heartbeat.ended(), environment.now());
        if (members.edition() != edition) {
            publish();
        }
        peers.heartbeat(heartbeat);
    }

    // Messages from other processes.

    /** Takes a message; {@code fromHost} is where its sender can be reached. */
    public void message(String fromHost, Message message) throws MalformedMessage {
        if (message instanceof BallotMessage ballot) {
            register.message(fromHost, ballot);
        } else if (message instanceof Heartbeat heartbeat) {
            heard(heartbeat);
        } else if (message instanceof HeartbeatAck ack) {
            peers.acknowledged(ack);
        } else if (message instanceof LeaseRenewal renewal) {
            renewed(fromHost, renewal);
        } else if (message instanceof ContactProbe probe) {
            environment.send(fromHost, new ContactReply(probe.number(), hasMajority() && !ending, controlHosts()));
        } else if (message instanceof SnapshotRequest request) {
            if (hasMajority()) { // else it may be old
                subscriptions.requested(request);
            }
        } else if (message instanceof DemandReport report) {
            demanded(report);
        } else if (message instanceof InstanceReady ready) {
            Instance instance = instances.get(ready.instance());
            if (instance != null && instance.phase() == Instance.Phase.BOOTING) {
                changed(List.of(instance.withPhase(Instance.Phase.READY)), true);
            }
        } else if (message instanceof InstanceUpdates updates) {
            changed(updates.instances(), false);
        } else if (message instanceof StartIntents intents) {
            instanceLifecycle.applyStartIntents(intents);
        } else {
            throw new MalformedMessage("message " + message.kind() + " is not for a control node");
        }
    }

    /** Sends to all other control nodes. */
    void tellControlNodes(Message message) {
        peers.tellAll(message);
    }

    /** Merges copies of instances; news of our own goes to the other control nodes too. */
    void changed(List<Instance> copies, boolean tell) {
        List<Instance> fresh = new ArrayList<>();
        for (Instance copy : copies) {
            if (instances.merge(copy, environment.now())) {
                fresh.add(copy);
            }
        }
        if (!fresh.isEmpty()) {
            if (tell) {
                tellControlNodes(new InstanceUpdates(fresh));
            }
            publish();
        }
    }

    private void demanded(DemandReport report) {
        demand.record(report.incarnation(), report.demands(), environment.now());
        PeerContacts.Peer holder = report.forwarded() ? null : election.holderPeer();
        if (holder != null) {
            environment.send(holder.host, new DemandReport(report.incarnation(), report.demands(), true));
        }
        instanceLifecycle.requestPlan();
    }

    // Proxies: leases and news.

    private void renewed(String fromHost, LeaseRenewal renewal) {
        Member member = renewal.member();
        long now = environment.now();
        long edition = members.edition();
        members.renewed(member, renewal.count(), now, true);
        if (members.edition() != edition) {
            membersChanged();
        }
        if (members.of(member.life()) == null) {
            subscriptions.end(member.life());
            environment.send(fromHost, new LeaseExpired(renewal.count()));
            return;
        }
        long newsSent = subscriptions.renewed(fromHost, renewal);
        long validMillis = Math.max(0, (peers.quorumContactAt() - now + nodeSettings.memberLease()) / 1_000_000);
        environment.send(
                fromHost,
                new LeaseGrant(
                        renewal.count(), hasMajority(), validMillis, renewal.session(), newsSent, controlHosts()));
    }

    /** Where proxies find control nodes. */
    private List<String> controlHosts() {
        ReplicatedState basis = register.basis();
        return basis == null
                ? List.of(nodeSettings.host())
                : basis.voters().stream().map(Voter::host).toList();
    }

    void publish() {
        subscriptions.publish();
    }

    // The configuration.

    private void chosen(ReplicatedState state, byte[] text) {
        environment.note("chosen " + state.version() + ": revision " + state.revision() + ", voters "
                + state.voters().stream().map(Voter::host).toList() + (state.isJoint() ? " (joint)" : "") + ", "
                + state.duties());
        configurations.chosen(state, text);
        publish();
        instanceLifecycle.requestPlan();
    }

    /** Replaces the whole configuration, or amends it. */
    public void change(boolean amends, String basedOn, byte[] body, Consumer<Reply> answer) {
        configurations.change(amends, basedOn, body, reply -> answer.accept(Reply.of(reply)));
    }

    /** Tells the newest configuration, as a majority knows it. */
    public void read(Consumer<Reply> answer) {
        configurations.read(reply -> answer.accept(Reply.of(reply)));
    }

    // Duties and voters.

    private void tick() {
        environment.after(nodeSettings.heartbeat() / 6, this::tick);
        long now = environment.now();
        boolean had = peers.watchQuorum();
        long edition = members.edition();
        // Guards against a control node that stood still or was cut off: all renewals it missed come to it first.
        if (peers.hasSteadyQuorum()) {
            members.expire(now);
        }
        if (members.edition() != edition) {
            membersChanged();
        }
        if (had && !hasMajority()) {
            environment.counters().count(Counter.QUORUM_LOSSES);
            environment.note("the quorum is lost");
            subscriptions.tellAll(new QuorumLost());
        } else if (!had && hasMajority()) {
            environment.note("there is a quorum");
            publish();
        }
        if (!proposing && register.basis() != null) {
            proposeWhatIsDue();
        }
        leaveIfDispensable();
    }

    private void proposeWhatIsDue() {
        ReplicatedState state = register.chosen();
        if (state == null || leavesUndecided()) {
            // What is chosen is known only once a majority was asked: after a start, and where whoever had a state
            // accepted may have gone before it told that it was chosen.
            propose((newest, text) -> Proposer.Step.stay(Boolean.TRUE));
        } else if (hasMajority()) {
            if (!ending && election.mayClaim(state)) {
                propose(election.claim(state));
                return;
            }
            Proposer.Change change = voterChanges.due(state, holds() || election.isVacant(state), ending);
            if (change != null) {
                propose(change);
            }
        }
    }

    private boolean leavesUndecided() {
        return register.isUndecided()
                && environment.now() - register.undecidedSince() > nodeSettings.heartbeat() / 2
                && peers.reachesMajority();
    }

    private void propose(Proposer.Change change) {
        proposing = true;
        // Guards against all control nodes at once: the first one's ballot spares the others theirs.
        environment.after(
                (long) (nodeSettings.heartbeat() / 8 * environment.chance().nextDouble()),
                () -> register.proposeFirst(change, nodeSettings.heartbeat(), done -> proposing = false));
    }

    /** The settings, read again, name these control nodes. */
    public void seeds(List<String> hosts) {
        peers.seeds(hosts);
    }

    /**
     * Ends in order: others may take over its duties at once. While another control node can take its place among the
     * voters, this one goes on voting until that has been agreed, but no longer than {@code within}.
     */
    public void end(long within, Runnable done) {
        ending = true;
        subscriptions.tellAll(new ControlNodeLeaving());
        sendHeartbeats();
        environment.after(within, () -> leave(done));
        election.resign(answer -> {
            onLeft = done;
            leaveIfDispensable();
        });
    }

    private void leaveIfDispensable() {
        ReplicatedState state = register.chosen();
        if (onLeft != null && (state == null || !voterChanges.isAwaitingSuccessor(state))) {
            leave(onLeft);
        }
    }

    private void leave(Runnable done) {
        if (!left) {
            left = true;
            done.run();
        }
    }
}
