package saltdale.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which control nodes should vote: who gives its place to a new one, and when pairs are added or dropped. */
class VoterChanges {
    /** Makes the voter changes of a control node. */
    interface Factory {
        VoterChanges create(
                Environment environment,
                ControlNodeSettings settings,
                PeerContacts peers,
                DutyElection election,
                String id);
    }

    /** More voters than this make each ballot dearer and bear no more losses than a deployment asks for. */
    private static final int MOST_VOTERS = 7;

    /** So many heartbeat intervals a pair must have been spare to vote beyond what the tolerated losses need. */
    private static final int SPARE_FOR = 20;

    /** The same where all should vote: until then it is known whether the pair takes the place of two that are gone. */
    private static final int SPARE_FOR_PLACES = 3;

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final PeerContacts peers;
    private final DutyElection election;
    private final String id;
    private long jointVersion = -1; // of the newest joint state seen, and since when
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
     * What is to be put forward now, null where nothing is; {@code elected}: this control node holds the duty, or
     * nobody does; {@code leaving}: it is about to end.
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
        List<Voter> next = next(state, candidates, leaving);
        return next.equals(state.voters()) ? null : change(state, next);
    }

    /**
     * Whether this control node ends a change of voters that is known to be chosen. Any may, whoever holds the duty,
     * but who proposed it, or holds the duty, goes first: ballots that overtake each other are slow.
     */
    boolean shouldComplete(ReplicatedState joint, boolean elected) {
        if (joint.version() != jointVersion) {
            jointVersion = joint.version();
            jointSince = environment.now();
        }
        return elected || environment.now() - jointSince > settings.heartbeatNanos() / 2;
    }

    /** Whether this control node, about to end, should wait: another can take its place but has not yet done so. */
    boolean isAwaitingSuccessor(ReplicatedState state) {
        boolean votes = state.voterSets().stream()
                .flatMap(List::stream)
                .anyMatch(voter -> voter.id().equals(id));
        return votes && (state.isJoint() || !candidates(state).isEmpty());
    }

    /** The voters to have: one whose disk was lost, or that is gone, gives its place to a new one. */
    private List<Voter> next(ReplicatedState state, List<PeerContacts.Peer> candidates, boolean leaving) {
        List<Voter> voters = new ArrayList<>(state.voters());
        for (int i = 0; i < voters.size(); i++) {
            Voter old = voters.get(i);
            PeerContacts.Peer same = candidates.stream()
                    .filter(peer -> peer.host.equals(old.host()))
                    .findAny()
                    .orElse(null);
            if (same != null) {
                voters.set(i, same.voter());
                candidates.remove(same);
            }
        }
        for (int i = 0; i < voters.size() && !candidates.isEmpty(); i++) {
            if (isGone(voters.get(i), leaving)) {
                voters.set(i, candidates.remove(0).voter());
            }
        }
        if (candidates.size() >= 2 && mayGrow(voters, candidates)) {
            voters.add(candidates.get(0).voter());
            voters.add(candidates.get(1).voter());
        } else if (candidates.isEmpty()) {
            dropPair(voters, leaving);
        }
        return voters;
    }

    /**
     * As many vote as the tolerated losses need; more only if a pair has been spare for a while. Guards against
     * successors that come before those whose place they take are known to be gone: voters that never return would
     * stay in the majority to be had.
     */
    private boolean mayGrow(List<Voter> voters, List<PeerContacts.Peer> candidates) {
        if (voters.size() + 2 <= settings.toleratedLosses().requiredVoters()) {
            return true;
        }
        long pairSince = Math.max(spareSince(candidates.get(0)), spareSince(candidates.get(1)));
        int spareFor = settings.toleratedLosses().includesZonesOrRegions() ? SPARE_FOR_PLACES : SPARE_FOR;
        return voters.size() + 2 <= MOST_VOTERS && environment.now() - pairSince > spareFor * settings.heartbeatNanos();
    }

    /**
     * Of more voters than needed, two that are gone and have no successor vote no longer. Not where a zone or region
     * may be lost: its machines come back, and must vote when the next one goes.
     */
    private void dropPair(List<Voter> voters, boolean leaving) {
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
        ids.forEach(each -> spareSince.putIfAbsent(each, now));
        return candidates;
    }

    private boolean isGone(Voter voter, boolean leaving) {
        if (voter.id().equals(id)) {
            return leaving;
        }
        PeerContacts.Peer peer = peers.peerAt(voter.host());
        return peer == null || peer.leaving || election.isLeaseExpired(peer.hasId(voter.id()) ? peer.lastHeardAt : 0);
    }

    /** Puts these voters forward, unless others are by now. */
    private static Proposer.Change change(ReplicatedState seen, List<Voter> next) {
        return (newest, text) -> newest.isJoint() || !newest.voters().equals(seen.voters())
                ? Proposer.ChangeResult.unchanged(null)
                : new Proposer.ChangeResult(newest.withVoters(next), null, Boolean.TRUE);
    }
}
