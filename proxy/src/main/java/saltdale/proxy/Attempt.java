package saltdale.proxy;

import saltdale.control.Instance;
import saltdale.control.Member;

/** One sending of a request to an instance, in a slot that its owner has granted for it. */
public final class Attempt {
    /** How it ended. */
    public enum End {
        /** The instance's whole answer is there, and it is the answer to this attempt. */
        ANSWERED,
        /** The instance says that it did not run it: it is full, or the time was over in its queue. */
        TURNED_AWAY,
        /** Another instance has the address. */
        MISDIRECTED,
        NOT_CONNECTED,
        /** Reset or closed before its last byte was sent, with nothing having come back. */
        UNSENT,
        /** Reset, closed, cut short or garbled after the whole of it was sent. */
        BROKEN,
        /** We broke it off ourselves. */
        ABANDONED;

        public ExecutionStatus status() {
            return switch (this) {
                case ANSWERED -> ExecutionStatus.RAN;
                case BROKEN, ABANDONED -> ExecutionStatus.MAY_HAVE_RUN;
                default -> ExecutionStatus.NOT_RUN;
            };
        }
    }

    public final Request request;
    public final String instance;
    public final String address;
    public final long deadline;
    final String zone; // the instance's
    Member owner; // whom the slot goes back to
    final String slotKey; // names the grant at its owner
    String life; // of this proxy, as the slot's owner knows it
    final long sentAt;
    boolean over;

    Attempt(Request request, Instance granted, Member owner, String life, long slotNumber, long sentAt) {
        this.request = request;
        instance = granted.id();
        address = granted.address();
        zone = granted.zone();
        this.owner = owner;
        this.life = life;
        slotKey = SlotClaim.key(life, slotNumber);
        this.sentAt = sentAt;
        this.deadline = request.deadline;
    }
}
