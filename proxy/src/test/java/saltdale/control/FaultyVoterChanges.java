package saltdale.control;

import java.util.Map;

/** Control nodes with a deliberate fault in the change of voters, which the tests must detect. */
public final class FaultyVoterChanges {
    private FaultyVoterChanges() {}

    /** Only the proposer that saw a change of voters chosen finishes it; no other control node does. */
    public static ControlNode finishedOnlyByProposer(
            Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        return new ControlNode(
                environment, settings, platform, records, ControlNode.Components.DEFAULT.with((VoterChanges.Factory)
                        (env, nodeSettings, peers, election, id) ->
                                new VoterChanges(env, nodeSettings, peers, election, id) {
                                    @Override
                                    boolean shouldComplete(ReplicatedState joint, boolean elected) {
                                        return false;
                                    }
                                }));
    }
}
