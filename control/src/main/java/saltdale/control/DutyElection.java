package saltdale.control;

import java.util.function.Consumer;

/**
 * The duty of starting and stopping instances: a lease in the replicated state. A control node claims it by a ballot
 * whenever it is vacant, and each new lease has a higher fencing number.
 */
final class DutyElection {
    static final String STARTING = "starting";

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final ReplicatedRegister register;
    private final PeerContacts peers;
    private final String id;
    private final String incarnation;
    private final long startedAt;

    DutyElection(
            Environment environment,
            ControlNodeSettings settings,
            ReplicatedRegister register,
            PeerContacts peers,
            String id,
            String incarnation) {
        this.environment = environment;
        this.settings = settings;
        this.register = register;
        this.peers = peers;
        this.id = id;
        this.incarnation = incarnation;
        startedAt = environment.now();
    }

    /**
     * The name under which this control node holds the duty. It includes the incarnation of the process, since a
     * restarted process has lost its state and does not continue the duty.
     */
    String ownName() {
        return id + "/" + incarnation;
    }

    /** Whether this control node holds the duty and can rule out that another one has taken it over. */
    boolean holdsDuty() {
        ReplicatedState state = register.chosen();
        return state != null && ownName().equals(state.duty(STARTING).holder()) && peers.hasQuorum();
    }

    long fence() {
        return register.chosen().duty(STARTING).fence();
    }

    /** The peer that holds the duty; null if this control node, nobody, or a peer without contact holds it. */
    PeerContacts.Peer holderPeer() {
        ReplicatedState state = register.chosen();
        String holder = state == null ? null : state.duty(STARTING).holder();
        for (PeerContacts.Peer peer : peers.peers()) {
            if (peer.identity != null && peer.holderName().equals(holder)) {
                return peer;
            }
        }
        return null;
    }

    /** Whether this control node may claim the duty now. */
    boolean mayClaim(ReplicatedState state) {
        // A control node that lost its disk may never become a voter again, so it leaves the duty to the voters.
        return settings.rates().duties().contains(STARTING) && state.isVoter(id) && isVacant(state);
    }

    /** A change that takes the duty over unless another control node has done so in the meantime. */
    Proposer.Change claim(ReplicatedState state) {
        DutyLease seen = state.duty(STARTING);
        return (newest, text) -> newest.duty(STARTING).fence() != seen.fence()
                ? Proposer.ChangeResult.unchanged(null)
                : new Proposer.ChangeResult(
                        newest.withDuty(STARTING, new DutyLease(ownName(), settings.name(), seen.fence() + 1)),
                        null,
                        Boolean.TRUE);
    }

    /** Releases the duty, so that another control node can take it over at once; {@code done} runs in any case. */
    void resign(Consumer<Object> done) {
        ReplicatedState state = register.chosen();
        if (state == null || !ownName().equals(state.duty(STARTING).holder())) {
            done.accept(null);
            return;
        }
        DutyLease own = state.duty(STARTING);
        register.proposeOwnChange(
                (newest, text) -> !own.equals(newest.duty(STARTING))
                        ? Proposer.ChangeResult.unchanged(null)
                        : new Proposer.ChangeResult(
                                newest.withDuty(STARTING, new DutyLease(null, null, own.fence())), null, Boolean.TRUE),
                settings.heartbeatNanos(),
                done);
    }

    /** Whether nobody holds the duty, as far as this control node can know. */
    boolean isVacant(ReplicatedState state) {
        String holder = state.duty(STARTING).holder();
        if (holder == null) {
            return true;
        } else if (holder.startsWith(id + "/")) {
            return !holder.equals(ownName());
        }
        for (PeerContacts.Peer peer : peers.peers()) {
            if (peer.identity != null && holder.startsWith(peer.identity.id() + "/")) {
                return !holder.equals(peer.holderName()) || isLeaseExpired(peer.lastHeardAt);
            }
        }
        return isLeaseExpired(startedAt);
    }

    /**
     * Whether the lease of a control node last heard from at {@code heardAt} has expired. False while this control node
     * has no steady contact with a majority, since it could then have missed the other's heartbeats.
     */
    boolean isLeaseExpired(long heardAt) {
        return environment.now() - Math.max(heardAt, startedAt) > settings.vacancyTimeoutNanos()
                && peers.hasSteadyQuorum();
    }
}
