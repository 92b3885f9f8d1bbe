package saltdale.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import saltdale.control.Configuration;
import saltdale.control.Member;

/** One request of a client, from when it was read to its one final answer. */
public final class Request {
    /** An owner that did not answer, by the life of the member, and when that was found. */
    record SilentOwner(String life, long at) {}

    public final String id;
    public final Configuration.Route route;
    public final String service;
    /** What the transport keeps with it: the client and the bytes. */
    public final Object clientContext;

    final long arrivedAt;
    final long deadline; // when it is given up at the latest
    final int priority; // the lowest first
    final long targetAt; // when its answer is late
    final Set<String> avoidedInstances = new HashSet<>(); // instances that turned it away or broke off
    final Map<String, SilentOwner> silentOwners = new HashMap<>(); // by zone: those that did not answer it
    ExecutionStatus status = ExecutionStatus.NOT_RUN;
    int attempts;
    int possibleRuns; // attempts of which nothing proves that they did not run
    int hops; // from owner to owner, for the present question
    long slotNumber; // the number of the present question for a slot; 0 while there is none
    String slotKey; // names what is granted for it
    Member owner; // whom it went to
    Runnable answerTimer;
    Runnable deadlineTimer;
    Attempt attempt;
    boolean over;

    Request(
            String id,
            Configuration.Route route,
            String service,
            Object clientContext,
            int priority,
            long arrivedAt,
            long deadline) {
        this.id = id;
        this.route = route;
        this.service = service;
        this.clientContext = clientContext;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.priority = priority;
        this.targetAt = arrivedAt + route.targetMs() * 1_000_000;
    }

    public boolean isOver() {
        return over;
    }
}
