package saltdale.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What is agreed, whole but for the text of the configuration, which {@code textKey} names. Chosen states form
 * one line,
 * numbered by {@code version}. While {@code before} differs from {@code voters} a change of voters is under way, and
 * ballots need a majority of both.
 */
public record ReplicatedState(
        long version,
        List<Voter> previousVoters,
        List<Voter> voters,
        Map<String, DutyLease> duties,
        long revision,
        String textKey,
        RecentChanges recentChanges) {
    /** The state from which all begin who are told that this is the first start. */
    public static ReplicatedState initial(List<Voter> voters) {
        return new ReplicatedState(0, voters, voters, Map.of(), 0, "", RecentChanges.startingAt(0));
    }

    public boolean isJoint() {
        return !previousVoters.equals(voters);
    }

    /** The sets of which a majority each is needed. */
    public List<List<Voter>> voterSets() {
        return isJoint() ? List.of(previousVoters, voters) : List.of(voters);
    }

    public boolean isVoter(String id) {
        return voters.stream().anyMatch(v -> v.id().equals(id));
    }

    public DutyLease duty(String name) {
        return duties.getOrDefault(name, DutyLease.NONE);
    }

    public ReplicatedState withVoters(List<Voter> next) {
        return new ReplicatedState(version + 1, voters, next, duties, revision, textKey, recentChanges);
    }

    /** The change of voters is over: all later ballots need the new ones alone. */
    public ReplicatedState withVoterChangeCompleted() {
        return new ReplicatedState(version + 1, voters, voters, duties, revision, textKey, recentChanges);
    }

    public ReplicatedState withDuty(String name, DutyLease tenure) {
        Map<String, DutyLease> all = new TreeMap<>(duties);
        all.put(name, tenure);
        return new ReplicatedState(version + 1, previousVoters, voters, all, revision, textKey, recentChanges);
    }

    /** A new revision of the configuration, its text named by this key, made by the order with this digest. */
    public ReplicatedState withConfiguration(long newRevision, String key, byte[] orderDigest) {
        return new ReplicatedState(
                version + 1,
                previousVoters,
                voters,
                duties,
                newRevision,
                key,
                recentChanges.with(revision, newRevision, orderDigest));
    }

    public Map<String, Object> tree() {
        Map<String, Object> duty = new LinkedHashMap<>();
        duties.forEach((name, t) -> duty.put(name, Fields.tree("h", t.holder(), "n", t.name(), "f", t.fence())));
        return Fields.tree(
                "v",
                version,
                "b",
                isJoint() ? previousVoters.stream().map(Voter::tree).toList() : null,
                "m",
                voters.stream().map(Voter::tree).toList(),
                "d",
                duty,
                "r",
                revision,
                "k",
                textKey,
                "f",
                recentChanges.coveredFrom(),
                "c",
                recentChanges.entries());
    }

    /** Reads a state as another process or the disk tells it. */
    public static ReplicatedState of(Object tree) throws MalformedMessage {
        return of(Fields.of(tree));
    }

    static ReplicatedState of(Fields from) throws MalformedMessage {
        List<Voter> voters = voters(from, "m");
        Map<String, DutyLease> duties = new TreeMap<>();
        Fields all = from.object("d");
        for (String name : all.map().keySet()) {
            Fields one = all.object(name);
            duties.put(name, new DutyLease(one.text("h", null), one.text("n", null), one.integer("f")));
        }
        long revision = from.integer("r");
        return new ReplicatedState(
                from.integer("v"),
                from.has("b") ? voters(from, "b") : voters,
                voters,
                duties,
                revision,
                from.text("k"),
                recentChanges(from, revision));
    }

    /**
     * Earlier releases wrote a list of digests that does not tell the revisions which the orders were based on: those
     * orders count as forgotten.
     */
    private static RecentChanges recentChanges(Fields from, long revision) throws MalformedMessage {
        if (!from.has("f")) {
            return RecentChanges.startingAt(revision);
        }
        return RecentChanges.of(from.integer("f"), from.bytes("c"), revision);
    }

    private static List<Voter> voters(Fields from, String name) throws MalformedMessage {
        List<Voter> all = new ArrayList<>();
        for (Object each : from.list(name)) {
            all.add(Voter.of(each));
        }
        if (all.isEmpty()) {
            throw new MalformedMessage("no voters");
        }
        return all;
    }
}
