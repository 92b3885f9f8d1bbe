package saltdale.control;

import java.util.ArrayList;
import java.util.List;

/** Which control nodes should vote: who gives its place to a new one, and when pairs are added. */
final class VoterChanges {
    /** More voters than this make each ballot dearer and bear no more losses than a deployment asks for. */
    private static final int MOST_VOTERS = 7;

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final PeerContacts peers;
    private final DutyElection election;
    private final String id;

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

    /** The voters to have: one whose disk was lost, or that is gone, gives its place to a new one; pairs are added. */
    List<Voter> next(ReplicatedState state) {
        List<PeerContacts.Peer> candidates = candidates(state);
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
            if (isGone(voters.get(i))) {
                voters.set(i, candidates.remove(0).voter());
            }
        }
        if (candidates.size() >= 2 && voters.size() + 2 <= MOST_VOTERS) {
            voters.add(candidates.get(0).voter());
            voters.add(candidates.get(1).voter());
        }
        return voters;
    }

    private List<PeerContacts.Peer> candidates(ReplicatedState state) {
        long now = environment.now();
        return new ArrayList<>(peers.all().stream()
                .filter(peer -> peer.identity != null
                        && !peer.leaving
                        && now - peer.heardAt < settings.lease()
                        && !state.isVoter(peer.identity.id()))
                .toList());
    }

    private boolean isGone(Voter voter) {
        if (voter.id().equals(id)) {
            return false;
        }
        PeerContacts.Peer peer = peers.at(voter.host());
        return peer == null || peer.leaving || election.unheard(peer.is(voter.id()) ? peer.heardAt : 0);
    }

    /** Puts these voters forward, unless others are by now. */
    Proposer.Change change(ReplicatedState seen, List<Voter> next) {
        return (newest, text) -> newest.isJoint() || !newest.voters().equals(seen.voters())
                ? Proposer.Step.stay(null)
                : new Proposer.Step(newest.withVoters(next), null, Boolean.TRUE);
    }
}
