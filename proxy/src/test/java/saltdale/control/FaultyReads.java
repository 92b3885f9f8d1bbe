package saltdale.control;

import java.util.Map;
import java.util.function.Consumer;

/** Control nodes with a deliberate fault in the reads of the configuration, which the tests must detect. */
public final class FaultyReads {
    private FaultyReads() {}

    /** A ballot answers all reads that wait at its end, and not only those that waited when it began. */
    public static ControlNode answeredByABallotThatBeganBefore(
            Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        return new ControlNode(
                environment, settings, platform, records, ControlNode.Components.DEFAULT.with((ProposalQueue.Factory)
                        LateReads::new));
    }

    private static final class LateReads extends ProposalQueue {
        LateReads(Environment environment, Consumer<QueuedChange> onCurrentExpired) {
            super(environment, onCurrentExpired);
        }

        @Override
        void answerReads(long lastNumber, ReadResult result) {
            super.answerReads(newestRead(), result);
        }
    }
}
