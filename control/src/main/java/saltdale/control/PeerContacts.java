package saltdale.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import saltdale.control.message.HeartbeatMessage.Heartbeat;
import saltdale.control.message.HeartbeatMessage.HeartbeatAck;
import saltdale.control.message.HeartbeatMessage.PeerIdentity;
import saltdale.control.message.HeartbeatMessage.Renewal;
import saltdale.control.message.Message;

/**
 * Exchanges heartbeats with the other control nodes: records when each was last heard, and up to when a majority of the
 * voters is known to have answered.
 */
final class PeerContacts {
    /** Heartbeat intervals for which an acknowledgement still counts. */
    private static final int ACK_VALIDITY_HEARTBEATS = 4;
    /** Heartbeat intervals after which a silent peer that is neither a voter nor a seed is removed. */
    private static final int PEER_EXPIRY_HEARTBEATS = 60;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** An acknowledgement: when its heartbeat was sent, and the version that the peer had accepted by then. */
    private record Acknowledgement(long sentAt, long acceptedVersion) {}

    /** Another control node; its identity is {@code null} until it is first heard. */
    static final class Peer {
        final String host;
        PeerIdentity identity;
        boolean leaving;
        long lastHeardAt;
        private long reachedAt = NEVER; // when the newest heartbeat that it acknowledged was sent
        private long agreedAt = NEVER; // the same, but only of heartbeats by which it had accepted nothing unknown here
        /** Acknowledgements of heartbeats by which the peer had accepted a version not yet known here. */
        private final List<Acknowledgement> acksOfUnknownVersions = new ArrayList<>();

        private final Map<Long, Long> heartbeatsSentAt = new LinkedHashMap<>(); // by heartbeat number

        Peer(String host) {
            this.host = host;
        }

        boolean hasId(String id) {
            return identity != null && identity.id().equals(id);
        }

        /** Discards all acknowledgements of this peer. */
        void clearContact() {
            reachedAt = NEVER;
            agreedAt = NEVER;
            acksOfUnknownVersions.clear();
        }

        /**
         * The name under which it holds a duty; it includes the incarnation, since a restarted process has forgotten
         * its work.
         */
        String holderName() {
            return identity.id() + "/" + identity.incarnation();
        }

        Voter voter() {
            return new Voter(identity.id(), identity.name(), host);
        }
    }

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final PeerIdentity ownIdentity;
    private final ReplicatedRegister register;
    private final Map<String, Peer> peers = new LinkedHashMap<>(); // by host
    private List<String> seeds = List.of();
    private long lastHeartbeatNumber;
    private boolean hadQuorum;
    private long quorumSince;

    PeerContacts(
            Environment environment,
            ControlNodeSettings settings,
            PeerIdentity ownIdentity,
            ReplicatedRegister register) {
        this.environment = environment;
        this.settings = settings;
        this.ownIdentity = ownIdentity;
        this.register = register;
        quorumSince = environment.now();
        setSeeds(settings.seeds());
    }

    /** Sets the seed hosts from the settings; a seed host never expires. */
    void setSeeds(List<String> hosts) {
        seeds = List.copyOf(hosts);
        seeds.stream().filter(host -> !host.equals(ownIdentity.host())).forEach(this::getOrAddPeer);
    }

    /** All known peers. */
    Collection<Peer> peers() {
        return peers.values();
    }

    /** The peer at this host; {@code null} if there is none. */
    Peer peerAt(String host) {
        return peers.get(host);
    }

    private Peer getOrAddPeer(String host) {
        return peers.computeIfAbsent(host, Peer::new);
    }

    /** Sends a message to all other control nodes. */
    void broadcast(Message message) {
        peers.keySet().forEach(host -> environment.send(host, message));
    }

    /**
     * Sends a heartbeat to every known control node, with the members' lease renewals heard here and the members that
     * have ended.
     */
    void sendHeartbeats(boolean leaving, List<Renewal> renewals, List<String> ended) {
        lastHeartbeatNumber++;
        long now = environment.now();
        ReplicatedState quorumState = register.quorumState();
        Set<String> hosts = new LinkedHashSet<>(peers.keySet());
        if (quorumState != null) {
            quorumState.voterSets().forEach(set -> set.forEach(voter -> hosts.add(voter.host())));
        }
        hosts.remove(ownIdentity.host());
        for (String host : hosts) {
            Peer peer = getOrAddPeer(host);
            peer.heartbeatsSentAt.put(lastHeartbeatNumber, now);
            peer.heartbeatsSentAt
                    .values()
                    .removeIf(at -> now - at > ACK_VALIDITY_HEARTBEATS * settings.heartbeatNanos());
            environment.send(
                    host,
                    new Heartbeat(
                            ownIdentity, lastHeartbeatNumber, register.chosenVersion(), leaving, renewals, ended));
        }
        peers.values().removeIf(peer -> isExpired(peer, quorumState, now));
    }

    private boolean isExpired(Peer peer, ReplicatedState quorumState, long now) {
        boolean isVoter = quorumState != null
                && quorumState.voterSets().stream()
                        .flatMap(List::stream)
                        .anyMatch(voter -> voter.host().equals(peer.host));
        return !isVoter
                && !seeds.contains(peer.host)
                && now - peer.lastHeardAt > PEER_EXPIRY_HEARTBEATS * settings.heartbeatNanos();
    }

    /** Records a peer's heartbeat and acknowledges it. */
    void onHeartbeat(Heartbeat heartbeat) {
        Peer peer = recordContact(heartbeat.from(), heartbeat.version());
        peer.leaving = heartbeat.leaving();
        environment.send(
                peer.host,
                new HeartbeatAck(
                        ownIdentity, heartbeat.number(), register.chosenVersion(), register.acceptedVersion()));
    }

    /** Records a peer's acknowledgement of a heartbeat. */
    void onHeartbeatAck(HeartbeatAck ack) {
        Peer peer = recordContact(ack.from(), ack.version());
        Long sentAt = peer.heartbeatsSentAt.remove(ack.number());
        if (sentAt != null) {
            peer.reachedAt = Math.max(peer.reachedAt, sentAt);
            peer.acksOfUnknownVersions.removeIf(earlier ->
                    environment.now() - earlier.sentAt > ACK_VALIDITY_HEARTBEATS * settings.heartbeatNanos());
            peer.acksOfUnknownVersions.add(new Acknowledgement(sentAt, ack.accepted()));
        }
    }

    private Peer recordContact(PeerIdentity identity, long version) {
        Peer peer = getOrAddPeer(identity.host());
        if (!peer.hasId(identity.id())) {
            peer.clearContact(); // acknowledgements of another disk at this address do not count
        }
        peer.identity = identity;
        peer.lastHeardAt = environment.now();
        if (version > register.chosenVersion()) {
            register.fetchFrom(peer.host); // anti-entropy: a node that is behind fetches what it missed
        }
        return peer;
    }

    /**
     * Whether a majority of voters answered messages sent within the lease, and all that was chosen before then is
     * known here. Computed from the clock at each call, so that a process that was suspended has no quorum
     * when it resumes.
     */
    boolean hasQuorum() {
        return quorumContactAt() > environment.now() - settings.quorumLeaseNanos();
    }

    /**
     * The send time of the latest heartbeat that a majority of voters has answered without having accepted a state that
     * is still unknown here; in a joint state, majorities of both voter sets. Everything chosen before that time is
     * known here: it was accepted by a majority, which has a voter in common with the one that answered.
     */
    long quorumContactAt() {
        return majorityContactAt(this::agreedAt);
    }

    /** Updates, once per tick, whether there is a quorum; returns the previous value. */
    boolean updateQuorum() {
        boolean previous = hadQuorum;
        hadQuorum = hasQuorum();
        quorumSince = previous ? quorumSince : environment.now();
        return previous;
    }

    /**
     * Whether there has been a quorum long enough for everything that others sent meanwhile to have arrived. Until
     * then, a control node that was suspended or cut off would mistake its own silence for theirs.
     */
    boolean hasSteadyQuorum() {
        return hadQuorum && hasQuorum() && environment.now() - quorumSince > settings.heartbeatNanos();
    }

    /** Whether a majority answers at all, even if it may have accepted states unknown here. */
    boolean reachesMajority() {
        return majorityContactAt(this::reachedAt) > environment.now() - settings.quorumLeaseNanos();
    }

    /** The latest time by which a majority of each voter set was in contact; {@link #NEVER} if no voters are known. */
    private long majorityContactAt(ToLongFunction<Voter> contactAt) {
        ReplicatedState quorumState = register.quorumState();
        if (quorumState == null) {
            return NEVER;
        }
        long at = environment.now();
        for (List<Voter> set : quorumState.voterSets()) {
            long[] contacts = set.stream().mapToLong(contactAt).sorted().toArray();
            at = Math.min(at, contacts[(contacts.length - 1) / 2]);
        }
        return at;
    }

    private long reachedAt(Voter voter) {
        return voter.id().equals(ownIdentity.id()) ? environment.now() : latestContactAt(voter, peer -> peer.reachedAt);
    }

    private long agreedAt(Voter voter) {
        if (voter.id().equals(ownIdentity.id())) {
            return Math.min(register.undecidedSince(), environment.now());
        }
        return latestContactAt(voter, this::agreedAt);
    }

    private long agreedAt(Peer peer) {
        long chosenVersion = register.chosenVersion();
        for (Acknowledgement pending : peer.acksOfUnknownVersions) {
            if (pending.acceptedVersion <= chosenVersion) {
                peer.agreedAt = Math.max(peer.agreedAt, pending.sentAt);
            }
        }
        peer.acksOfUnknownVersions.removeIf(pending -> pending.acceptedVersion <= chosenVersion);
        return peer.agreedAt;
    }

    private long latestContactAt(Voter voter, ToLongFunction<Peer> contactAt) {
        return peers.values().stream()
                .filter(peer -> peer.hasId(voter.id()))
                .mapToLong(contactAt)
                .max()
                .orElse(NEVER);
    }
}
