package saltdale.control;

import java.util.Map;
import java.util.function.Consumer;

/** Control nodes that answer from a state that is too old, which the tests must detect. */
public final class FaultyReads {
    private FaultyReads() {}

    /** A ballot answers all reads that wait at its end, and not only those that waited when it began. */
    public static ControlNode answeredByABallotThatBeganBefore(
            Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        return node(environment, settings, platform, records, LateReads::new);
    }

    /** A change is decided by the ballot that it joins, whatever that is promised, as if it had been there before. */
    public static ControlNode changesDecidedByABallotThatBeganBefore(
            Environment environment, ControlNodeSettings settings, Platform platform, Map<String, byte[]> records)
            throws MalformedMessage {
        return node(environment, settings, platform, records, LateChanges::new);
    }

    private static ControlNode node(
            Environment environment,
            ControlNodeSettings settings,
            Platform platform,
            Map<String, byte[]> records,
            ProposalQueue.Factory queue)
            throws MalformedMessage {
        return new ControlNode(environment, settings, platform, records, ControlNode.Components.DEFAULT.with(queue));
    }

    private static final class LateChanges extends ProposalQueue {
        LateChanges(Environment environment, Consumer<QueuedChange> onCurrentExpired) {
            super(environment, onCurrentExpired);
        }

        @Override
        long newestChange() {
            return Long.MAX_VALUE;
        }
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
