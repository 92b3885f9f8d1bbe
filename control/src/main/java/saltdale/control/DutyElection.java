package saltdale.control;

import java.util.function.Consumer;

/**
 * The duty of starting and stopping instances: a lease in the replicated state, won by a ballot whenever it is vacant
 * and fenced by a number that only grows.
 */
final class DutyElection {
    static final String STARTING = "starting";

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final ReplicatedRegister register;
    private final PeerContacts peers;
    private final String id;
    private final String life;
    private final long startedAt;

    DutyElection(
            Environment environment,
            ControlNodeSettings settings,
            ReplicatedRegister register,
            PeerContacts peers,
            String id,
            String life) {
        this.environment = environment;
        this.settings = settings;
        this.register = register;
        this.peers = peers;
        this.id = id;
        this.life = life;
        startedAt = environment.now();
    }

    /** Who holds the duty is named with its life: one that began anew has forgotten what it was about. */
    String ownName() {
        return id + "/" + life;
    }

    /** Whether this control node holds the duty and knows that nobody can have taken it over. */
    boolean holdsDuty() {
        ReplicatedState state = register.chosen();
        return state != null && ownName().equals(state.duty(STARTING).holder()) && peers.hasQuorum();
    }

    long fence() {
        return register.chosen().duty(STARTING).fence();
    }

    /** The peer that holds the duty; null where it is this control node, nobody, or one that was not heard. */
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

    /** Whether this control node may put itself forward now. */
    boolean mayClaim(ReplicatedState state) {
        // Guards against a holder that nobody makes a voter again: one whose disk was lost leaves the duty to others.
        return settings.rates().duties().contains(STARTING) && state.isVoter(id) && isVacant(state);
    }

    /** Takes the duty over, unless another has meanwhile. */
    Proposer.Change claim(ReplicatedState state) {
        DutyLease seen = state.duty(STARTING);
        return (newest, text) -> newest.duty(STARTING).fence() != seen.fence()
                ? Proposer.ChangeResult.unchanged(null)
                : new Proposer.ChangeResult(
                        newest.withDuty(STARTING, new DutyLease(ownName(), settings.name(), seen.fence() + 1)),
                        null,
                        Boolean.TRUE);
    }

    /** Gives the duty up, so that another may take it over at once; {@code done} runs in any case. */
    void resign(Consumer<Object> done) {
        ReplicatedState state = register.chosen();
        if (state == null || !ownName().equals(state.duty(STARTING).holder())) {
            done.accept(null);
            return;
        }
        DutyLease mine = state.duty(STARTING);
        register.propose(
                (newest, text) -> !mine.equals(newest.duty(STARTING))
                        ? Proposer.ChangeResult.unchanged(null)
                        : new Proposer.ChangeResult(
                                newest.withDuty(STARTING, new DutyLease(null, null, mine.fence())), null, Boolean.TRUE),
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

    /** Whether so long has passed since then that its lease is over, and we could have heard it. */
    boolean isLeaseExpired(long heardAt) {
        return environment.now() - Math.max(heardAt, startedAt) > settings.vacancyTimeoutNanos()
                && peers.hasSteadyQuorum();
    }
}
