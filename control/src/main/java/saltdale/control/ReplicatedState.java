package saltdale.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state that the control nodes agree on, complete except for the text of the configuration, which {@code textKey}
 * identifies. Chosen states form one sequence, numbered by {@code version}. While {@code previousVoters} differs from
 * {@code voters}, a change of voters is in progress (a joint state), and ballots need a majority of both sets.
 */
public record ReplicatedState(
        long version,
        List<Voter> previousVoters,
        List<Voter> voters,
        Map<String, DutyLease> duties,
        long revision,
        String textKey,
        RecentChanges recentChanges) {
    /** The state from which all control nodes begin whose settings say that this is the first start. */
    public static ReplicatedState initial(List<Voter> voters) {
        return new ReplicatedState(0, voters, voters, Map.of(), 0, "", RecentChanges.startingAt(0));
    }

    /** Whether a change of voters is in progress. */
    public boolean isJoint() {
        return !previousVoters.equals(voters);
    }

    /** The sets of voters, of each of which a ballot needs a majority. */
    public List<List<Voter>> voterSets() {
        return isJoint() ? List.of(previousVoters, voters) : List.of(voters);
    }

    /** Whether the control node with this id is one of the voters. */
    public boolean isVoter(String id) {
        return voters.stream().anyMatch(voter -> voter.id().equals(id));
    }

    /** The lease of a duty; {@link DutyLease#NONE} if it was never held. */
    public DutyLease duty(String name) {
        return duties.getOrDefault(name, DutyLease.NONE);
    }

    /** Starts a change of voters: the result is a joint state of the present voters and the new ones. */
    public ReplicatedState withVoters(List<Voter> newVoters) {
        return new ReplicatedState(version + 1, voters, newVoters, duties, revision, textKey, recentChanges);
    }

    /** Completes the change of voters: all later ballots need a majority of the new voters alone. */
    public ReplicatedState withVoterChangeCompleted() {
        return new ReplicatedState(version + 1, voters, voters, duties, revision, textKey, recentChanges);
    }

    /** Sets the lease of a duty. */
    public ReplicatedState withDuty(String name, DutyLease lease) {
        Map<String, DutyLease> all = new TreeMap<>(duties);
        all.put(name, lease);
        return new ReplicatedState(version + 1, previousVoters, voters, all, revision, textKey, recentChanges);
    }

    /** Sets a new revision of the configuration, with the key of its text and the digest of the update that made it. */
    public ReplicatedState withConfiguration(long newRevision, String newTextKey, byte[] updateDigest) {
        return new ReplicatedState(
                version + 1,
                previousVoters,
                voters,
                duties,
                newRevision,
                newTextKey,
                recentChanges.with(revision, newRevision, updateDigest));
    }

    /** The state as a tree for {@link Trees}, for messages and for the disk. */
    public Map<String, Object> tree() {
        Map<String, Object> dutyTrees = new LinkedHashMap<>();
        duties.forEach((name, lease) ->
                dutyTrees.put(name, Fields.tree("h", lease.holder(), "n", lease.name(), "f", lease.fence())));
        return Fields.tree(
                "v",
                version,
                "b",
                isJoint() ? previousVoters.stream().map(Voter::tree).toList() : null,
                "m",
                voters.stream().map(Voter::tree).toList(),
                "d",
                dutyTrees,
                "r",
                revision,
                "k",
                textKey,
                "f",
                recentChanges.coveredFrom(),
                "c",
                recentChanges.entries());
    }

    /** Reads a state from a message or from disk. */
    public static ReplicatedState of(Object tree) throws MalformedMessage {
        return of(Fields.of(tree));
    }

    static ReplicatedState of(Fields fields) throws MalformedMessage {
        List<Voter> voters = voters(fields, "m");
        Map<String, DutyLease> duties = new TreeMap<>();
        Fields dutyFields = fields.object("d");
        for (String name : dutyFields.map().keySet()) {
            Fields lease = dutyFields.object(name);
            duties.put(name, new DutyLease(lease.text("h", null), lease.text("n", null), lease.integer("f")));
        }
        long revision = fields.integer("r");
        return new ReplicatedState(
                fields.integer("v"),
                fields.has("b") ? voters(fields, "b") : voters,
                voters,
                duties,
                revision,
                fields.text("k"),
                recentChanges(fields, revision));
    }

    /**
     * Earlier releases wrote a list of digests without the revisions that the updates were based on; those updates
     * count as forgotten.
     */
    private static RecentChanges recentChanges(Fields fields, long revision) throws MalformedMessage {
        if (!fields.has("f")) {
            return RecentChanges.startingAt(revision);
        }
        return RecentChanges.of(fields.integer("f"), fields.bytes("c"), revision);
    }

    private static List<Voter> voters(Fields fields, String name) throws MalformedMessage {
        List<Voter> voters = new ArrayList<>();
        for (Object tree : fields.list(name)) {
            voters.add(Voter.of(tree));
        }
        if (voters.isEmpty()) {
            throw new MalformedMessage("the list of voters is empty");
        }
        return voters;
    }
}
