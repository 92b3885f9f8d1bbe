package saltdale.control;

import java.util.List;

/** The number of a ballot: no two processes, and no two lives of one, ever use the same. */
public record Ballot(long round, String incarnation) implements Comparable<Ballot> {
    public static final Ballot NONE = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : incarnation.compareTo(other.incarnation);
    }

    public List<Object> tree() {
        return List.of(round, incarnation);
    }

    static Ballot of(Fields fields, String name) throws MalformedMessage {
        return of(fields.list(name));
    }

    public static Ballot of(Object tree) throws MalformedMessage {
        if (tree instanceof List<?> list
                && list.size() == 2
                && list.get(0) instanceof Long round
                && list.get(1) instanceof String life) {
            return new Ballot(round, life);
        }
        throw new MalformedMessage("is no ballot");
    }
}
