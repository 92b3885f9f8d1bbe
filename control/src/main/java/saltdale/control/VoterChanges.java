package saltdale.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which control nodes should vote: which voter is replaced by a new one, and when pairs of voters are
 * added or removed.
 */
class VoterChanges {
    /** Creates the {@link VoterChanges} of a control node; tests supply faulty variants. */
    interface Factory {
        VoterChanges create(
                Environment environment,
                ControlNodeSettings settings,
                PeerContacts peers,
                DutyElection election,
                String id);
    }

    /**
     * The largest number of voters: more would make each ballot more expensive and would tolerate more losses than any
     * deployment asks for.
     */
    private static final int MAX_VOTERS = 7;

    /**
     * The number of heartbeat intervals for which a pair must have been spare before it votes beyond the number of
     * voters that the tolerated losses need.
     */
    private static final int SPARE_HEARTBEATS = 20;

    /**
     * The same where zones or regions may be lost and all control nodes should vote: long enough to tell whether the
     * pair replaces two voters that are gone.
     */
    private static final int SPARE_HEARTBEATS_WITH_ZONE_LOSSES = 3;

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final PeerContacts peers;
    private final DutyElection election;
    private final String id;
    private long jointVersion = -1; // version of the newest joint state seen, and since when
    private long jointSince;
    private final Map<String, Long> spareSince = new HashMap<>(); // by id of a candidate

    VoterChanges(
            Environment environment,
            ControlNodeSettings settings,
            PeerContacts peers,
            DutyElection election,
            String id) {
        this.environment = environment;
        this.settings = settings;
        this.peers = peers;
        this.election = election;
        this.id = id;
    }

    /**
     * The change to propose now, or {@code null} if there is none. {@code elected}: this control node holds the duty,
     * or nobody does. {@code leaving}: this control node is shutting down.
     */
    Proposer.Change nextChange(ReplicatedState state, boolean elected, boolean leaving) {
        if (state.isJoint()) {
            return shouldComplete(state, elected) ? Proposer.completeVoterChange(state) : null;
        }
        List<PeerContacts.Peer> candidates = candidates(state);
        boolean replacesItself = leaving && state.isVoter(id) && !candidates.isEmpty();
        if (!elected && !replacesItself) {
            return null;
        }
        List<Voter> nextVoters = nextVoters(state, candidates, leaving);
        return nextVoters.equals(state.voters()) ? null : replaceVoters(state, nextVoters);
    }

    /**
     * Whether this control node should complete a change of voters that is known to be chosen. Any control node may,
     * whoever holds the duty, but the proposer or the duty holder goes first, because ballots that preempt each other
     * are slow.
     */
    boolean shouldComplete(ReplicatedState joint, boolean elected) {
        if (joint.version() != jointVersion) {
            jointVersion = joint.version();
            jointSince = environment.now();
        }
        return elected || environment.now() - jointSince > settings.heartbeatNanos() / 2;
    }

    /**
     * Whether this control node, which is shutting down, should wait because another one can replace it but has not
     * done so yet.
     */
    boolean isAwaitingSuccessor(ReplicatedState state) {
        boolean isVoter = state.voterSets().stream()
                .flatMap(List::stream)
                .anyMatch(voter -> voter.id().equals(id));
        return isVoter && (state.isJoint() || !candidates(state).isEmpty());
    }

    /** The voters that there should be: a voter that lost its disk, or is gone, is replaced by a new one. */
    private List<Voter> nextVoters(ReplicatedState state, List<PeerContacts.Peer> candidates, boolean leaving) {
        List<Voter> voters = new ArrayList<>(state.voters());
        for (int i = 0; i < voters.size(); i++) {
            Voter voter = voters.get(i);
            PeerContacts.Peer replacement = candidates.stream()
                    .filter(peer -> peer.host.equals(voter.host()))
                    .findAny()
                    .orElse(null);
            if (replacement != null) {
                voters.set(i, replacement.voter());
                candidates.remove(replacement);
            }
        }
        for (int i = 0; i < voters.size() && !candidates.isEmpty(); i++) {
            if (isGone(voters.get(i), leaving)) {
                voters.set(i, candidates.remove(0).voter());
            }
        }
        if (candidates.size() >= 2 && mayAddPair(voters, candidates)) {
            voters.add(candidates.get(0).voter());
            voters.add(candidates.get(1).voter());
        } else if (candidates.isEmpty()) {
            removeGonePair(voters, leaving);
        }
        return voters;
    }

    /**
     * Whether a pair of voters may be added: up to the number that the tolerated losses need, and beyond it only if the
     * pair has been spare for a while. Otherwise successors that arrive before their predecessors are known to be gone
     * would be added, and voters that never return would still count towards the majority.
     */
    private boolean mayAddPair(List<Voter> voters, List<PeerContacts.Peer> candidates) {
        if (voters.size() + 2 <= settings.toleratedLosses().requiredVoters()) {
            return true;
        }
        long pairSince = Math.max(spareSince(candidates.get(0)), spareSince(candidates.get(1)));
        int spareHeartbeats = settings.toleratedLosses().includesZonesOrRegions()
                ? SPARE_HEARTBEATS_WITH_ZONE_LOSSES
                : SPARE_HEARTBEATS;
        return voters.size() + 2 <= MAX_VOTERS
                && environment.now() - pairSince > spareHeartbeats * settings.heartbeatNanos();
    }

    /**
     * Removes two voters that are gone and have no successor, if there are more voters than needed. Not done where a
     * zone or region may be lost: its machines come back, and must vote when the next zone or region is lost.
     */
    private void removeGonePair(List<Voter> voters, boolean leaving) {
        List<Voter> gone =
                voters.stream().filter(voter -> isGone(voter, leaving)).toList();
        if (gone.size() >= 2
                && !settings.toleratedLosses().includesZonesOrRegions()
                && voters.size() - 2 >= settings.toleratedLosses().requiredVoters()) {
            voters.removeAll(gone.subList(0, 2));
        }
    }

    private long spareSince(PeerContacts.Peer candidate) {
        return spareSince.getOrDefault(candidate.identity.id(), environment.now());
    }

    private List<PeerContacts.Peer> candidates(ReplicatedState state) {
        long now = environment.now();
        List<PeerContacts.Peer> candidates = new ArrayList<>(peers.peers().stream()
                .filter(peer -> peer.identity != null
                        && !peer.leaving
                        && now - peer.lastHeardAt < settings.quorumLeaseNanos()
                        && !state.isVoter(peer.identity.id()))
                .toList());
        List<String> ids = candidates.stream().map(peer -> peer.identity.id()).toList();
        spareSince.keySet().retainAll(ids);
        ids.forEach(candidateId -> spareSince.putIfAbsent(candidateId, now));
        return candidates;
    }

    /** Whether a voter is shutting down, unknown, or has been silent for longer than the vacancy timeout. */
    private boolean isGone(Voter voter, boolean leaving) {
        if (voter.id().equals(id)) {
            return leaving;
        }
        PeerContacts.Peer peer = peers.peerAt(voter.host());
        return peer == null || peer.leaving || election.isLeaseExpired(peer.hasId(voter.id()) ? peer.lastHeardAt : 0);
    }

    /** Proposes these voters, unless the voters have changed meanwhile. */
    private static Proposer.Change replaceVoters(ReplicatedState expected, List<Voter> newVoters) {
        return (newest, text) -> newest.isJoint() || !newest.voters().equals(expected.voters())
                ? Proposer.ChangeResult.unchanged(null)
                : new Proposer.ChangeResult(newest.withVoters(newVoters), null, Boolean.TRUE);
    }
}
