package saltdale.routing;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import saltdale.model.Outcome;

/** What the dispatcher took in, sent and answered since its start. */
public final class Counters {
    long taken;
    long fulfilled;
    long shed;
    long givenUp;
    long clientsGone;
    long badRequests;
    long tooSlow;
    long turnedAway;
    long callBacks;
    long callBacksUnmatched;
    long badCallBacks;
    long dispatches;
    long cancels;
    long probes;
    long probesUnanswered;
    long badAnswers;
    long lists;
    long badLists;
    long watchesBroken;
    final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);

    void ended(Outcome outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    /** One line a counter: its name and its figure. */
    String lines(long held, long sockets, long exceptions) {
        StringJoiner lines = new StringJoiner("\n", "", "\n");
        lines.add("assignments_taken " + taken)
                .add("assignments_held " + held)
                .add("answered_fulfilled " + fulfilled)
                .add("answered_shed " + shed)
                .add("answered_given_up " + givenUp)
                .add("clients_gone " + clientsGone)
                .add("bad_requests " + badRequests)
                .add("too_slow " + tooSlow)
                .add("turned_away_without_sockets " + turnedAway)
                .add("dispatches " + dispatches)
                .add("cancels " + cancels);
        outcomes.forEach(
                (outcome, count) -> lines.add("ended_" + outcome.name().toLowerCase(Locale.ROOT) + " " + count));
        return lines.add("probes " + probes)
                .add("probes_unanswered " + probesUnanswered)
                .add("call_backs " + callBacks)
                .add("call_backs_unmatched " + callBacksUnmatched)
                .add("bad_call_backs " + badCallBacks)
                .add("bad_answers " + badAnswers)
                .add("lists " + lists)
                .add("bad_lists " + badLists)
                .add("watches_broken " + watchesBroken)
                .add("sockets_open " + sockets)
                .add("exceptions " + exceptions)
                .toString();
    }
}
