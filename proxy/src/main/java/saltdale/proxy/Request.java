package saltdale.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import saltdale.control.Configuration;
import saltdale.control.Member;

/** A client's request, from its arrival to its single final answer; times are on the clock of the environment. */
public final class Request {
    /** An owner that did not reply, by its incarnation, and when that was detected. */
    record UnresponsiveOwner(String incarnation, long detectedAt) {}

    public final String id;
    public final Configuration.Route route;
    public final String service;
    /** Data of the transport, such as the client's connection and the bytes of the request. */
    public final Object clientContext;

    final long arrivedAt;
    final long deadline; // when it is given up at the latest
    final int priority; // the lowest first
    final long targetAt; // when its answer counts as late
    final Set<String> avoidedInstances = new HashSet<>(); // instances on which an attempt failed
    final Map<String, UnresponsiveOwner> unresponsiveOwners = new HashMap<>(); // by zone
    ExecutionStatus status = ExecutionStatus.NOT_EXECUTED;
    int attempts;
    int possibleExecutions; // attempts that are not known to be unexecuted
    int zoneHops; // redirections of the current slot request from owner to owner
    long slotNumber; // of the current slot request; 0 if there is none
    String slotKey; // identifies a grant for the current slot request
    Member slotOwner; // receives the current slot request
    Runnable cancelReplyTimer;
    Runnable cancelDeadlineTimer;
    Attempt attempt;
    boolean finished;

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

    /** Whether it has its final answer, or its client has disconnected. */
    public boolean isFinished() {
        return finished;
    }
}
