package saltdale.proxy;

import saltdale.control.Instance;
import saltdale.control.Member;

/** One sending of a call to a runner, in a slot that a home has lent for it. */
public final class Attempt {
    /** How it ended. */
    public enum End {
        /** The runner's whole answer is there, and it is the answer to this attempt. */
        ANSWERED,
        /** The runner says that it did not run it: it is full, or the time was over in its queue. */
        TURNED_AWAY,
        /** Another runner has the address. */
        MISDIRECTED,
        NOT_CONNECTED,
        /** Reset, closed, cut short or garbled, with nothing of it having been written. */
        UNSENT,
        /** The same, after it was written in part or in whole. */
        BROKEN,
        /** We broke it off ourselves. */
        ABANDONED;

        public ExecutionStatus verdict() {
            return switch (this) {
                case ANSWERED -> ExecutionStatus.RAN;
                case BROKEN, ABANDONED -> ExecutionStatus.MAY_HAVE_RUN;
                default -> ExecutionStatus.NOT_RUN;
            };
        }
    }

    public final Request call;
    public final String runner;
    public final String address;
    public final long until;
    final String zone; // the runner's
    Member home; // whom the slot goes back to
    final long slot; // the number of the question by which it was lent
    final long sentAt;
    boolean over;

    Attempt(Request call, Instance lent, Member home, long slot, long sentAt) {
        this.call = call;
        runner = lent.id();
        address = lent.address();
        zone = lent.zone();
        this.home = home;
        this.slot = slot;
        this.sentAt = sentAt;
        this.until = call.until;
    }
}
