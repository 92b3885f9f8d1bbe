package saltdale.rig.platform;

import java.time.Duration;

/** One runner from start to end: its state and the number of requests that it works on. */
public final class Instance {
    /** The states of a runner, in the order in which it passes them. */
    public enum State {
        BOOTING,
        READY,
        DRAINING,
        /** It accepts no connections, and ends with its last request. */
        CEASED,
        ENDED
    }

    /**
     * A runner's decision on a request.
     *
     * @param status 200 if the runner executes it, otherwise the status of the answer that says it was not executed
     * @param full whether it was rejected because {@code max_concurrency} requests are being executed
     */
    public record Admission(int status, boolean full) {
        public boolean runs() {
            return status == 200;
        }
    }

    public final String identifier;
    public final long sequence;
    public final Service service;
    public final String address;
    public final Deployment.Worker worker;
    /** A factor of the work time, since the runners of one service vary in speed. */
    public final double workTimeFactor;

    private final Platform platform;
    private State state = State.BOOTING;
    private int activeRequests;

    Instance(
            Platform platform,
            long sequence,
            String identifier,
            Service service,
            String address,
            Deployment.Worker worker,
            double workTimeFactor) {
        this.platform = platform;
        this.sequence = sequence;
        this.identifier = identifier;
        this.service = service;
        this.address = address;
        this.worker = worker;
        this.workTimeFactor = workTimeFactor;
    }

    public State state() {
        return state;
    }

    void state(State next) {
        state = next;
    }

    /** Whether the runner is draining, or past that. */
    public boolean isLeaving() {
        return state.compareTo(State.DRAINING) >= 0;
    }

    int activeRequests() {
        return activeRequests;
    }

    /**
     * Accepts or rejects a request; {@link #requestFinished} follows for each accepted one.
     *
     * @param expected the identifier of the runner that the sender expects; null for any
     * @param remaining the time left until the request's deadline; null if it has none
     */
    public Admission admit(String attemptId, String expected, Duration remaining) {
        if (expected != null && !expected.equals(identifier)) {
            return new Admission(421, false);
        } else if (attemptId == null) {
            return new Admission(400, false);
        } else if (state == State.CEASED
                || state == State.ENDED
                || remaining != null && (remaining.isZero() || remaining.isNegative())) {
            return new Admission(503, false);
        } else if (activeRequests >= service.maxConcurrency()) {
            return new Admission(503, true);
        }
        activeRequests++;
        return new Admission(200, false);
    }

    /** Records that an accepted request has ended. */
    public void requestFinished() {
        activeRequests--;
        platform.endIfIdle(this);
    }
}
