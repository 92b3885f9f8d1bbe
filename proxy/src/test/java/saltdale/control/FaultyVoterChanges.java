package saltdale.control;

import java.util.Map;

/** Control nodes that change their voters in a wrong way: tests must find them out. */
public final class FaultyVoterChanges {
    private FaultyVoterChanges() {}

    /** A change of voters is ended by the proposer that saw it chosen, or not at all. */
    public static ControlNode finishedOnlyByProposer(
            Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        return new ControlNode(
                environment,
                settings,
                platform,
                records,
                new ControlNode.Components(
                        ConfigurationService::new,
                        (itsEnvironment, itsSettings, peers, election, id) ->
                                new VoterChanges(itsEnvironment, itsSettings, peers, election, id) {
                                    @Override
                                    boolean shouldComplete(ReplicatedState joint, boolean elected) {
                                        return false;
                                    }
                                }));
    }
}
