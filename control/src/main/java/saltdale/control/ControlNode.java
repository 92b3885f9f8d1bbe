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
 * One replica of the control plane. It takes part in the consensus, keeps the leases of the proxies, sends them
 * configuration, membership and instance news, and starts and stops instances while it holds the duty to do so. It has
 * no I/O and no clock of its own; see {@link Environment}.
 */
public final class ControlNode {
    /**
     * The response to an operator's request: an HTTP status, a reason, and a body, which is {@code null} if
     * there is none.
     */
    public record Reply(int status, String reason, byte[] body) {
        private static Reply of(ConfigurationService.Reply reply) {
            return new Reply(reply.status(), reply.reason(), reply.body());
        }
    }

    /** The delay before a membership change is announced, so that several simultaneous changes are announced once. */
    private static final long BATCH_DELAY_NANOS = Environment.millisToNanos(5);

    /** The name of the record that holds the node id. */
    static final String IDENTITY_RECORD = "identity";

    /** The name of the record that holds the initial state of the cluster. */
    private static final String INITIAL_STATE_RECORD = "begun";

    private final Environment environment;
    private final ControlNodeSettings nodeSettings;
    private final String id;
    private final ReplicatedRegister register;
    private final PeerContacts peers;
    private final DutyElection election;
    private final VoterChanges voterChanges;
    private final ConfigurationService configurationService;
    private final InstanceLifecycle instanceLifecycle;
    private final MembershipTable members;
    private final InstanceTable instances;
    private final DemandTable demand;
    private final Subscriptions subscriptions;
    private boolean proposing;
    private boolean shuttingDown;
    private Runnable onShutDown; // set once this node is shutting down and has given up its duties
    private boolean shutDownCompleted;
    private boolean membersNoticeScheduled;

    /** The components that tests replace by faulty variants. */
    record Components(
            ConfigurationService.Factory configurationService,
            VoterChanges.Factory voterChanges,
            ProposalQueue.Factory proposalQueue) {
        static final Components DEFAULT =
                new Components(ConfigurationService::new, VoterChanges::new, ProposalQueue::new);

        Components with(ConfigurationService.Factory other) {
            return new Components(other, voterChanges, proposalQueue);
        }

        Components with(VoterChanges.Factory other) {
            return new Components(configurationService, other, proposalQueue);
        }

        Components with(ProposalQueue.Factory other) {
            return new Components(configurationService, voterChanges, other);
        }
    }

    /**
     * Creates a control node. {@code records} are the records on disk; they are empty if the node is new, or has lost
     * its disk.
     */
    public ControlNode(
            Environment environment, ControlNodeSettings nodeSettings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        this(environment, nodeSettings, platform, records, Components.DEFAULT);
    }

    ControlNode(
            Environment environment,
            ControlNodeSettings nodeSettings,
            Platform platform,
            Map<String, byte[]> records,
            Components components)
            throws MalformedMessage {
        this.environment = environment;
        this.nodeSettings = nodeSettings;
        String incarnation = Long.toHexString(environment.random().nextLong());
        boolean isInitialVoter = nodeSettings.firstStart()
                && records.isEmpty()
                && nodeSettings.seeds().contains(nodeSettings.host());
        id = records.containsKey(IDENTITY_RECORD)
                ? new String(records.get(IDENTITY_RECORD), StandardCharsets.UTF_8)
                : isInitialVoter
                        ? Voter.initialId(nodeSettings.host())
                        : Long.toHexString(environment.random().nextLong());
        register = new ReplicatedRegister(environment, id, incarnation, components.proposalQueue(), this::onChosen);
        peers = new PeerContacts(
                environment,
                nodeSettings,
                new PeerIdentity(id, nodeSettings.name(), nodeSettings.host(), incarnation),
                register);
        election = new DutyElection(environment, nodeSettings, register, peers, id, incarnation);
        voterChanges = components.voterChanges().create(environment, nodeSettings, peers, election, id);
        configurationService = components.configurationService().create(environment, nodeSettings, register, peers);
        members = new MembershipTable(nodeSettings.memberLeaseNanos() + nodeSettings.heartbeatNanos() * 3 / 10);
        instances = new InstanceTable(8 * nodeSettings.heartbeatNanos(), 40 * nodeSettings.heartbeatNanos());
        demand = new DemandTable(3 * nodeSettings.heartbeatNanos());
        subscriptions = new Subscriptions(
                environment, nodeSettings, configurationService.history(), members, instances, peers::hasQuorum);
        instanceLifecycle = new InstanceLifecycle(environment, this, platform, nodeSettings);
        restore(records);
    }

    private void restore(Map<String, byte[]> records) throws MalformedMessage {
        register.restore(records);
        ReplicatedState initialState = nodeSettings.firstStart()
                ? ReplicatedState.initial(nodeSettings.seeds().stream()
                        .sorted()
                        .map(host -> new Voter(Voter.initialId(host), host, host))
                        .toList())
                : records.containsKey(INITIAL_STATE_RECORD)
                        ? ReplicatedState.of(new Fields(Trees.fromCbor(records.get(INITIAL_STATE_RECORD))))
                        : null;
        if (initialState != null) {
            register.initialize(initialState);
        }
        if (!records.containsKey(IDENTITY_RECORD)) {
            Map<String, byte[]> ownRecords =
                    new HashMap<>(Map.of(IDENTITY_RECORD, id.getBytes(StandardCharsets.UTF_8)));
            if (initialState != null) {
                // Without this record, no node would know whom to ask if all were killed before any had
                // accepted a state.
                ownRecords.put(INITIAL_STATE_RECORD, Trees.toCbor(initialState.tree()));
            }
            register.writeWithNextVote(ownRecords);
            persistIdentity(ownRecords);
        }
    }

    /**
     * Writes the node id and the initial voters, and retries until that succeeds: the disk may be full at the first
     * start, and both must be found again after a restart.
     */
    private void persistIdentity(Map<String, byte[]> ownRecords) {
        environment.persist(ownRecords, succeeded -> {
            if (!succeeded) {
                environment.schedule(nodeSettings.heartbeatNanos(), () -> persistIdentity(ownRecords));
            }
        });
    }

    /** Starts the heartbeats, the periodic checks, and the management of instances. */
    public void start() {
        heartbeat();
        tick();
        instanceLifecycle.start();
    }

    // Accessors.

    /** The name of this control node, from its settings. */
    String name() {
        return nodeSettings.name();
    }

    /** The instances known to this control node. */
    InstanceTable instances() {
        return instances;
    }

    /** The demand reported by the proxies. */
    DemandTable demand() {
        return demand;
    }

    /** The newest configuration known to be chosen; {@code null} if there is none yet. */
    Configuration configuration() {
        return configurationService.current();
    }

    /** The number of voters; 1 while the voters are not known. */
    int voterCount() {
        return register.quorumState() == null
                ? 1
                : register.quorumState().voters().size();
    }

    /**
     * Whether this control node holds the duty of starting and stopping instances, and no other node can have
     * taken it over.
     */
    boolean holdsDuty() {
        return election.holdsDuty();
    }

    /** The fencing number of the present lease of the duty; it rises with each new holder. */
    long fence() {
        return election.fence();
    }

    /**
     * Whether a majority of voters answered messages sent within the lease. False right after this
     * process was suspended.
     */
    public boolean hasMajority() {
        return peers.hasQuorum();
    }

    // Heartbeats.

    private void heartbeat() {
        environment.schedule(nodeSettings.heartbeatNanos() / 3, this::heartbeat); // even if this one fails
        sendHeartbeats();
    }

    private void sendHeartbeats() {
        peers.sendHeartbeats(shuttingDown, members.takeUnreportedRenewals(), members.recentlyEnded(environment.now()));
    }

    /**
     * Announces a membership change to proxies and control nodes soon: owners that learn of it at different times would
     * grant the same slots.
     */
    private void onMembersChanged() {
        if (!membersNoticeScheduled) {
            membersNoticeScheduled = true;
            environment.schedule(BATCH_DELAY_NANOS, () -> {
                membersNoticeScheduled = false;
                publish();
                sendHeartbeats();
            });
        }
    }

    private void handleHeartbeat(Heartbeat heartbeat) {
        long edition = members.edition();
        members.mergeRenewals(heartbeat.renewals(), environment.now());
        members.markEnded(heartbeat.ended(), environment.now());
        if (members.edition() != edition) {
            publish();
        }
        peers.onHeartbeat(heartbeat);
    }

    // Messages from other processes.

    /** Handles a message; {@code fromHost} is where its sender can be reached. */
    public void handleMessage(String fromHost, Message message) throws MalformedMessage {
        if (message instanceof BallotMessage ballot) {
            register.handleMessage(fromHost, ballot);
        } else if (message instanceof Heartbeat heartbeat) {
            handleHeartbeat(heartbeat);
        } else if (message instanceof HeartbeatAck ack) {
            peers.onHeartbeatAck(ack);
        } else if (message instanceof LeaseRenewal renewal) {
            handleRenewal(fromHost, renewal);
        } else if (message instanceof ContactProbe probe) {
            environment.send(
                    fromHost, new ContactReply(probe.number(), hasMajority() && !shuttingDown, controlHosts()));
        } else if (message instanceof SnapshotRequest request) {
            if (hasMajority()) { // without a majority, the snapshot may be outdated
                subscriptions.onSnapshotRequest(request);
            }
        } else if (message instanceof DemandReport report) {
            handleDemandReport(report);
        } else if (message instanceof InstanceReady ready) {
            Instance instance = instances.get(ready.instance());
            if (instance != null && instance.phase() == Instance.Phase.BOOTING) {
                mergeInstances(List.of(instance.withPhase(Instance.Phase.READY)), true);
            }
        } else if (message instanceof InstanceUpdates updates) {
            mergeInstances(updates.instances(), false);
        } else if (message instanceof StartIntents intents) {
            instanceLifecycle.applyStartIntents(intents);
        } else {
            throw new MalformedMessage("message " + message.kind() + " is not meant for a control node");
        }
    }

    /** Sends a message to all other control nodes. */
    void sendToControlNodes(Message message) {
        peers.broadcast(message);
    }

    /**
     * Merges copies of instances into the table; changes made by this node are also sent to the other control nodes.
     */
    void mergeInstances(List<Instance> copies, boolean sendToPeers) {
        List<Instance> changed = new ArrayList<>();
        for (Instance copy : copies) {
            if (instances.merge(copy, environment.now())) {
                changed.add(copy);
            }
        }
        if (!changed.isEmpty()) {
            if (sendToPeers) {
                sendToControlNodes(new InstanceUpdates(changed));
            }
            publish();
        }
    }

    private void handleDemandReport(DemandReport report) {
        demand.record(report.incarnation(), report.demands(), environment.now());
        PeerContacts.Peer holder = report.forwarded() ? null : election.holderPeer();
        if (holder != null) {
            environment.send(holder.host, new DemandReport(report.incarnation(), report.demands(), true));
        }
        instanceLifecycle.requestPlan();
    }

    // Leases and news of the proxies.

    private void handleRenewal(String fromHost, LeaseRenewal renewal) {
        Member member = renewal.member();
        long now = environment.now();
        long edition = members.edition();
        members.renew(member, renewal.count(), now, true);
        if (members.edition() != edition) {
            onMembersChanged();
        }
        if (members.member(member.incarnation()) == null) {
            subscriptions.endSession(member.incarnation());
            environment.send(fromHost, new LeaseExpired(renewal.count()));
            return;
        }
        long newsSent = subscriptions.onRenewal(fromHost, renewal);
        long validMillis = Math.max(0, (peers.quorumContactAt() - now + nodeSettings.memberLeaseNanos()) / 1_000_000);
        environment.send(
                fromHost,
                new LeaseGrant(
                        renewal.count(), hasMajority(), validMillis, renewal.session(), newsSent, controlHosts()));
    }

    /** The hosts at which proxies find control nodes. */
    private List<String> controlHosts() {
        ReplicatedState quorumState = register.quorumState();
        return quorumState == null
                ? List.of(nodeSettings.host())
                : quorumState.voters().stream().map(Voter::host).toList();
    }

    /** Sends every proxy what has changed for it. */
    void publish() {
        subscriptions.publish();
    }

    // The configuration.

    private void onChosen(ReplicatedState state, byte[] text) {
        environment.log("chosen state " + state.version() + ": configuration revision " + state.revision() + ", voters "
                + state.voters().stream().map(Voter::host).toList() + (state.isJoint() ? " (joint)" : "") + ", "
                + state.duties());
        environment.runGuarded(() -> configurationService.onChosen(state, text));
        publish();
        instanceLifecycle.requestPlan();
    }

    /**
     * Replaces the whole configuration, or amends it if {@code isAmendment}; {@code basedOn} is the revision that the
     * change is based on.
     */
    public void changeConfiguration(boolean isAmendment, String basedOn, byte[] body, Consumer<Reply> answer) {
        configurationService.change(isAmendment, basedOn, body, reply -> answer.accept(Reply.of(reply)));
    }

    /** Reads the newest configuration, as confirmed by a majority. */
    public void readConfiguration(Consumer<Reply> answer) {
        configurationService.read(reply -> answer.accept(Reply.of(reply)));
    }

    // Duties and voters.

    /** Periodic work: updates the quorum state, expires leases, and proposes changes. */
    private void tick() {
        environment.schedule(nodeSettings.heartbeatNanos() / 6, this::tick);
        long now = environment.now();
        boolean hadQuorum = peers.updateQuorum();
        long edition = members.edition();
        // A control node that was suspended or cut off first receives all the renewals it missed; only then may
        // leases expire.
        if (peers.hasSteadyQuorum()) {
            members.expire(now);
        }
        if (members.edition() != edition) {
            onMembersChanged();
        }
        if (hadQuorum && !hasMajority()) {
            environment.counters().increment(Counter.QUORUM_LOSSES);
            environment.log("lost the quorum");
            environment.runGuarded(() -> subscriptions.broadcast(new QuorumLost()));
        } else if (!hadQuorum && hasMajority()) {
            environment.log("has a quorum");
            publish();
        }
        if (!proposing && register.quorumState() != null) {
            proposeNextChange();
        }
        completeShutDownIfReplaced();
    }

    /** Proposes the next pending change, if there is one: a claim of the duty, or a change of voters. */
    private void proposeNextChange() {
        ReplicatedState state = register.chosen();
        if (state == null || mustResolveUndecidedState()) {
            // Only a ballot that asks a majority tells what is chosen: after a start, and where a proposer may have
            // stopped after its state was accepted but before it announced that it was chosen.
            propose((newest, text) -> Proposer.ChangeResult.unchanged(Boolean.TRUE));
        } else if (hasMajority()) {
            if (!shuttingDown && election.mayClaim(state)) {
                propose(election.claim(state));
                return;
            }
            Proposer.Change change =
                    voterChanges.nextChange(state, holdsDuty() || election.isVacant(state), shuttingDown);
            if (change != null) {
                propose(change);
            }
        }
    }

    /** Whether a state accepted here has been undecided for so long that a ballot must settle it. */
    private boolean mustResolveUndecidedState() {
        return register.hasUndecidedState()
                && environment.now() - register.undecidedSince() > nodeSettings.heartbeatNanos() / 2
                && peers.reachesMajority();
    }

    private void propose(Proposer.Change change) {
        proposing = true;
        // A random delay keeps the control nodes from all proposing at once; the first one's ballot makes the
        // others' unnecessary.
        environment.schedule(
                (long) (nodeSettings.heartbeatNanos() / 8 * environment.random().nextDouble()),
                () -> register.proposeOwnChange(change, nodeSettings.heartbeatNanos(), done -> proposing = false));
    }

    /** Sets the seed hosts, after the settings were read again. */
    public void setSeeds(List<String> seedHosts) {
        peers.setSeeds(seedHosts);
    }

    /**
     * Shuts this control node down in an orderly way: its duties can be taken over at once. While another control node
     * can take its place among the voters, this node goes on voting until that has been agreed, but no longer than
     * {@code timeoutNanos}.
     */
    public void shutDown(long timeoutNanos, Runnable onDone) {
        shuttingDown = true;
        environment.schedule(timeoutNanos, () -> completeShutDown(onDone)); // even if the hand-over fails
        subscriptions.broadcast(new ControlNodeLeaving());
        sendHeartbeats();
        election.resign(answer -> {
            onShutDown = onDone;
            completeShutDownIfReplaced();
        });
    }

    private void completeShutDownIfReplaced() {
        ReplicatedState state = register.chosen();
        if (onShutDown != null && (state == null || !voterChanges.isAwaitingSuccessor(state))) {
            completeShutDown(onShutDown);
        }
    }

    private void completeShutDown(Runnable onDone) {
        if (!shutDownCompleted) {
            shutDownCompleted = true;
            onDone.run();
        }
    }
}
