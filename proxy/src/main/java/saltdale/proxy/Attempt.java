package saltdale.proxy;

import saltdale.control.Instance;
import saltdale.control.Member;

/** One attempt to have a request executed by an instance, in a slot granted for it by the owner of the service. */
public final class Attempt {
    /** How an attempt ended; transmitted by its position. */
    public enum Outcome {
        /** The complete answer of the instance to this attempt was received. */
        ANSWERED,
        /** The instance states that it did not execute the request: it is full, or the deadline passed in its queue. */
        TURNED_AWAY,
        /** The address belongs to another instance by now. */
        MISDIRECTED,
        /** No connection could be established. */
        NOT_CONNECTED,
        /** The connection was reset or closed before the first byte was sent, and nothing was received. */
        UNSENT,
        /**
         * The request was sent, perhaps only in part, and then the connection failed or the answer was incomplete or
         * malformed.
         */
        BROKEN,
        /** This proxy closed the connection. */
        ABANDONED;

        /** What this outcome says about the execution of the request. */
        public ExecutionStatus executionStatus() {
            return switch (this) {
                case ANSWERED -> ExecutionStatus.EXECUTED;
                case BROKEN, ABANDONED -> ExecutionStatus.POSSIBLY_EXECUTED;
                default -> ExecutionStatus.NOT_EXECUTED;
            };
        }
    }

    public final Request request;
    public final String instanceId;
    public final String address;
    /** When the request is given up at the latest, in nanoseconds on the clock of the environment. */
    public final long deadline;

    final String zone; // of the instance
    Member owner; // gets the slot back
    final String slotKey; // identifies the grant at the owner
    String incarnation; // of this proxy, as known to the owner
    final long sentAt;
    boolean finished;

    Attempt(Request request, Instance granted, Member owner, String incarnation, long slotNumber, long sentAt) {
        this.request = request;
        instanceId = granted.id();
        address = granted.address();
        zone = granted.zone();
        this.owner = owner;
        this.incarnation = incarnation;
        slotKey = SlotClaim.key(incarnation, slotNumber);
        this.sentAt = sentAt;
        this.deadline = request.deadline;
    }
}
