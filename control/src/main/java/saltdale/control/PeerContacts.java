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
 * Heartbeats with the other control nodes: who has been heard of and when, and since when a majority of the voters is
 * known to have answered.
 */
final class PeerContacts {
    private static final int REMEMBERED_HEARTBEATS = 4; // intervals for which an acknowledgement still counts
    private static final int FORGOTTEN_AFTER = 60; // intervals after which one that is no voter and no seed is dropped
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** An acknowledgement: when its heartbeat was sent, and the version that the other had accepted by then. */
    private record Answer(long sentAt, long accepted) {}

    /** Another control node; its identity is null until it was heard. */
    static final class Peer {
        final String host;
        PeerIdentity identity;
        boolean leaving;
        long heardAt;
        private long reachedAt = NEVER; // when the newest heartbeat was sent that it has acknowledged
        private long agreedAt = NEVER; // the same, of those after which it had accepted nothing unknown to us
        private final List<Answer> ahead = new ArrayList<>(); // by which it had accepted what we do not know yet
        private final Map<Long, Long> sentAt = new LinkedHashMap<>(); // by the heartbeat's number

        Peer(String host) {
            this.host = host;
        }

        boolean is(String id) {
            return identity != null && identity.id().equals(id);
        }

        void forgetContact() {
            reachedAt = NEVER;
            agreedAt = NEVER;
            ahead.clear();
        }

        /** How duties name it: one that began anew has forgotten what it was about. */
        String holderName() {
            return identity.id() + "/" + identity.incarnation();
        }

        Voter voter() {
            return new Voter(identity.id(), identity.name(), host);
        }
    }

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final PeerIdentity own;
    private final ReplicatedRegister register;
    private final Map<String, Peer> peers = new LinkedHashMap<>(); // by host
    private List<String> seeds = List.of();
    private long heartbeats;
    private boolean hadQuorum;
    private long quorumSince;

    PeerContacts(Environment environment, ControlNodeSettings settings, PeerIdentity own, ReplicatedRegister register) {
        this.environment = environment;
        this.settings = settings;
        this.own = own;
        this.register = register;
        quorumSince = environment.now();
        seeds(settings.seeds());
    }

    /** The settings name these control nodes now; none of them is forgotten. */
    void seeds(List<String> hosts) {
        seeds = List.copyOf(hosts);
        seeds.stream().filter(host -> !host.equals(own.host())).forEach(this::peer);
    }

    Collection<Peer> all() {
        return peers.values();
    }

    /** The peer at this host, known or not. */
    Peer at(String host) {
        return peers.get(host);
    }

    private Peer peer(String host) {
        return peers.computeIfAbsent(host, Peer::new);
    }

    /** Sends to all other control nodes. */
    void tellAll(Message message) {
        peers.keySet().forEach(host -> environment.send(host, message));
    }

    /** Sends a heartbeat to every control node known, with what has been heard of members. */
    void sendHeartbeats(boolean leaving, List<Renewal> renewals, List<String> ended) {
        heartbeats++;
        long now = environment.now();
        ReplicatedState basis = register.basis();
        Set<String> to = new LinkedHashSet<>(peers.keySet());
        if (basis != null) {
            basis.quorums().forEach(set -> set.forEach(voter -> to.add(voter.host())));
        }
        to.remove(own.host());
        for (String host : to) {
            Peer peer = peer(host);
            peer.sentAt.put(heartbeats, now);
            peer.sentAt.values().removeIf(at -> now - at > REMEMBERED_HEARTBEATS * settings.heartbeat());
            environment.send(host, new Heartbeat(own, heartbeats, register.version(), leaving, renewals, ended));
        }
        peers.values().removeIf(peer -> isForgotten(peer, basis, now));
    }

    private boolean isForgotten(Peer peer, ReplicatedState basis, long now) {
        boolean votes = basis != null
                && basis.quorums().stream()
                        .flatMap(List::stream)
                        .anyMatch(v -> v.host().equals(peer.host));
        return !votes && !seeds.contains(peer.host) && now - peer.heardAt > FORGOTTEN_AFTER * settings.heartbeat();
    }

    /** Takes note of another's heartbeat and acknowledges it. */
    void heartbeat(Heartbeat heartbeat) {
        Peer peer = heard(heartbeat.from(), heartbeat.version());
        peer.leaving = heartbeat.leaving();
        environment.send(
                peer.host, new HeartbeatAck(own, heartbeat.number(), register.version(), register.acceptedVersion()));
    }

    void acknowledged(HeartbeatAck ack) {
        Peer peer = heard(ack.from(), ack.version());
        Long sent = peer.sentAt.remove(ack.number());
        if (sent != null) {
            peer.reachedAt = Math.max(peer.reachedAt, sent);
            peer.ahead.removeIf(
                    answer -> environment.now() - answer.sentAt > REMEMBERED_HEARTBEATS * settings.heartbeat());
            peer.ahead.add(new Answer(sent, ack.accepted()));
        }
    }

    private Peer heard(PeerIdentity identity, long version) {
        Peer peer = peer(identity.host());
        if (!peer.is(identity.id())) {
            peer.forgetContact(); // what another disk at this address answered counts for nothing
        }
        peer.identity = identity;
        peer.heardAt = environment.now();
        if (version > register.version()) {
            register.fetch(peer.host); // the sweep: whoever is behind fetches what it missed
        }
        return peer;
    }

    /**
     * Whether a majority of voters answered what was sent within the lease, and what was chosen before that is known
     * here. Computed from the clock at each call: a process that stood still has none when it wakes.
     */
    boolean hasQuorum() {
        return quorumContactAt() > environment.now() - settings.lease();
    }

    /**
     * When that was sent which a majority of voters has answered, none of whom had accepted a state that we do not know
     * by now; of a joint membership, majorities of both. Whatever was chosen before that moment is known here: it was
     * accepted by a majority, which has a voter in common with the one that answered.
     */
    long quorumContactAt() {
        return majorityAt(this::agreedAt);
    }

    /** Takes note, now and then, of whether there is a quorum; returns what was noted before. */
    boolean watchQuorum() {
        boolean had = hadQuorum;
        hadQuorum = hasQuorum();
        quorumSince = had ? quorumSince : environment.now();
        return had;
    }

    /**
     * Whether there has been a quorum long enough for all that others sent meanwhile to have come. A control node that
     * stood still or was cut off takes its own silence for theirs until then.
     */
    boolean hasSteadyQuorum() {
        return hadQuorum && hasQuorum() && environment.now() - quorumSince > settings.heartbeat();
    }

    /** Whether a majority answers at all, though it may have accepted what is unknown here. */
    boolean reachesMajority() {
        return majorityAt(this::reachedAt) > environment.now() - settings.lease();
    }

    private long majorityAt(ToLongFunction<Voter> contactAt) {
        ReplicatedState basis = register.basis();
        if (basis == null) {
            return NEVER;
        }
        long at = environment.now();
        for (List<Voter> set : basis.quorums()) {
            long[] contacts = set.stream().mapToLong(contactAt).sorted().toArray();
            at = Math.min(at, contacts[(contacts.length - 1) / 2]);
        }
        return at;
    }

    private long reachedAt(Voter voter) {
        return voter.id().equals(own.id()) ? environment.now() : latest(voter, peer -> peer.reachedAt);
    }

    private long agreedAt(Voter voter) {
        if (voter.id().equals(own.id())) {
            return Math.min(register.undecidedSince(), environment.now());
        }
        return latest(voter, this::agreedAt);
    }

    private long agreedAt(Peer peer) {
        long known = register.version();
        for (Answer answer : peer.ahead) {
            if (answer.accepted <= known) {
                peer.agreedAt = Math.max(peer.agreedAt, answer.sentAt);
            }
        }
        peer.ahead.removeIf(answer -> answer.accepted <= known);
        return peer.agreedAt;
    }

    private long latest(Voter voter, ToLongFunction<Peer> contactAt) {
        return peers.values().stream()
                .filter(peer -> peer.is(voter.id()))
                .mapToLong(contactAt)
                .max()
                .orElse(NEVER);
    }
}
