package saltdale.routing;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import saltdale.model.Outcome;

/** Counts the requests, attempts, probes and messages of a dispatcher since its start. */
public final class Counters {
    long acceptedRequests;
    long fulfilled;
    long shed;
    long givenUp;
    long clientDisconnects;
    long invalidRequests;
    long requestTimeouts;
    long rejectedOverSocketLimit;
    long jobUpdates;
    long unmatchedJobUpdates;
    long malformedJobUpdates;
    long attempts;
    long cancellations;
    long probes;
    long failedProbes;
    long malformedResponses;
    long runnerLists;
    long malformedRunnerLists;
    long brokenWatches;
    final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);

    /** Counts an attempt that ended with this outcome. */
    void countOutcome(Outcome outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    /** Returns one line per counter: its name and its value. */
    String lines(long pendingRequests, long openSockets, long exceptions) {
        StringJoiner lines = new StringJoiner("\n", "", "\n");
        lines.add("assignments_taken " + acceptedRequests)
                .add("assignments_held " + pendingRequests)
                .add("answered_fulfilled " + fulfilled)
                .add("answered_shed " + shed)
                .add("answered_given_up " + givenUp)
                .add("clients_gone " + clientDisconnects)
                .add("bad_requests " + invalidRequests)
                .add("too_slow " + requestTimeouts)
                .add("turned_away_without_sockets " + rejectedOverSocketLimit)
                .add("dispatches " + attempts)
                .add("cancels " + cancellations);
        outcomes.forEach(
                (outcome, count) -> lines.add("ended_" + outcome.name().toLowerCase(Locale.ROOT) + " " + count));
        return lines.add("probes " + probes)
                .add("probes_unanswered " + failedProbes)
                .add("call_backs " + jobUpdates)
                .add("call_backs_unmatched " + unmatchedJobUpdates)
                .add("bad_call_backs " + malformedJobUpdates)
                .add("bad_answers " + malformedResponses)
                .add("lists " + runnerLists)
                .add("bad_lists " + malformedRunnerLists)
                .add("watches_broken " + brokenWatches)
                .add("sockets_open " + openSockets)
                .add("exceptions " + exceptions)
                .toString();
    }
}
