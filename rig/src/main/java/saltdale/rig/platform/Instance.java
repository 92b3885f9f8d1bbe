package saltdale.rig.platform;

import java.time.Duration;

/** One life of a runner: how far it has come, and which requests it works on. */
public final class Instance {
    /** How far a life has come. */
    public enum State {
        BOOTING,
        READY,
        DRAINING,
        CEASED,
        ENDED
    }

    /**
     * What a runner does with a request.
     *
     * @param status 200 where it runs it, else the answer that says it was not run
     * @param full whether it is turned away because {@code max_concurrency} are at work
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
    /** Of its work time; runners of one service vary. */
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

    public boolean isLeaving() {
        return state.compareTo(State.DRAINING) >= 0;
    }

    int activeRequests() {
        return activeRequests;
    }

    /**
     * Takes a request in or turns it away; {@link #requestFinished} follows if it runs.
     *
     * @param expected the identifier that its sender expects; null for any
     * @param remaining of its deadline; null where it names none
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

    /** It works on one request less. */
    public void requestFinished() {
        activeRequests--;
        platform.endIfIdle(this);
    }
}
