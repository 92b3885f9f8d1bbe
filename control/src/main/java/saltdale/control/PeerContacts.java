package saltdale.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    /** Another control node; its identity is null until it was heard. */
    static final class Peer {
        final String host;
        PeerIdentity identity;
        boolean leaving;
        long heardAt;
        private long acknowledgedSentAt = NEVER;
        private final Map<Long, Long> sentAt = new LinkedHashMap<>(); // by the heartbeat's number

        Peer(String host) {
            this.host = host;
        }

        boolean is(String id) {
            return identity != null && identity.id().equals(id);
        }

        /** How duties name it: one that began anew has forgotten what it was about. */
        String holderName() {
            return identity.id() + "/" + identity.life();
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
    private long heartbeats;

    PeerContacts(Environment environment, ControlNodeSettings settings, PeerIdentity own, ReplicatedRegister register) {
        this.environment = environment;
        this.settings = settings;
        this.own = own;
        this.register = register;
        settings.seeds().stream().filter(host -> !host.equals(own.host())).forEach(this::peer);
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
            peer.sentAt.values().removeIf(at -> now - at > REMEMBERED_HEARTBEATS * settings.beat());
            environment.send(host, new Heartbeat(own, heartbeats, register.version(), leaving, renewals, ended));
        }
        peers.values().removeIf(peer -> isForgotten(peer, basis, now));
    }

    private boolean isForgotten(Peer peer, ReplicatedState basis, long now) {
        boolean votes = basis != null
                && basis.quorums().stream()
                        .flatMap(List::stream)
                        .anyMatch(v -> v.host().equals(peer.host));
        return !votes
                && !settings.seeds().contains(peer.host)
                && now - peer.heardAt > FORGOTTEN_AFTER * settings.beat();
    }

    /** Takes note of another's heartbeat and acknowledges it. */
    void heartbeat(Heartbeat heartbeat) {
        Peer peer = heard(heartbeat.from(), heartbeat.version());
        peer.leaving = heartbeat.leaving();
        environment.send(peer.host, new HeartbeatAck(own, heartbeat.number(), register.version()));
    }

    void acknowledged(HeartbeatAck ack) {
        Peer peer = heard(ack.from(), ack.version());
        Long sent = peer.sentAt.remove(ack.number());
        if (sent != null) {
            peer.acknowledgedSentAt = Math.max(peer.acknowledgedSentAt, sent);
        }
    }

    private Peer heard(PeerIdentity identity, long version) {
        Peer peer = peer(identity.host());
        peer.identity = identity;
        peer.heardAt = environment.now();
        if (version > register.version()) {
            register.fetch(peer.host); // the sweep: whoever is behind fetches what it missed
        }
        return peer;
    }

    /** Whether a majority of voters answered what was sent within the lease; a process that stood still has none. */
    boolean hasQuorum() {
        return quorumContactAt() > environment.now() - settings.lease();
    }

    /** When that was sent which a majority of voters has answered; of a joint membership, majorities of both. */
    long quorumContactAt() {
        ReplicatedState basis = register.basis();
        if (basis == null) {
            return NEVER;
        }
        long at = environment.now();
        for (List<Voter> set : basis.quorums()) {
            List<Long> contacts = new ArrayList<>();
            set.forEach(voter -> contacts.add(contactAt(voter)));
            contacts.sort(null);
            at = Math.min(at, contacts.get((contacts.size() - 1) / 2));
        }
        return at;
    }

    private long contactAt(Voter voter) {
        if (voter.id().equals(own.id())) {
            return environment.now();
        }
        return peers.values().stream()
                .filter(peer -> peer.is(voter.id()))
                .mapToLong(peer -> peer.acknowledgedSentAt)
                .max()
                .orElse(NEVER);
    }
}
