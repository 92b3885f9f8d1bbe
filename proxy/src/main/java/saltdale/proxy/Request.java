package saltdale.proxy;

import java.util.HashSet;
import java.util.Set;
import saltdale.control.Configuration;
import saltdale.control.Member;

/** One request of a client, from when it was read to its one final answer. */
public final class Request {
    public final String id;
    public final Configuration.Route route;
    public final String service;
    /** What the transport keeps with it: the client and the bytes. */
    public final Object load;

    final long arrivedAt;
    final long until; // when it is given up at the latest
    final int priority; // the lowest first
    final long target; // when its answer is late
    final Set<String> avoided = new HashSet<>(); // runners that turned it away or broke off
    final Set<String> unreached = new HashSet<>(); // zones whose homes did not answer
    ExecutionStatus verdict = ExecutionStatus.NOT_RUN;
    int attempts;
    int hops; // from home to home, for the present question
    long ask; // the number of the present question for a slot; 0 while there is none
    Member home; // whom it went to
    Runnable timer;
    Runnable limit;
    Attempt attempt;
    boolean over;

    Request(
            String id,
            Configuration.Route route,
            String service,
            Object load,
            int priority,
            long arrivedAt,
            long until) {
        this.id = id;
        this.route = route;
        this.service = service;
        this.load = load;
        this.arrivedAt = arrivedAt;
        this.until = until;
        this.priority = priority;
        this.target = arrivedAt + route.targetMs() * 1_000_000;
    }

    public boolean isOver() {
        return over;
    }
}
