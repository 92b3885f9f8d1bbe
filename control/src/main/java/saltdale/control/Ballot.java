package saltdale.control;

import java.util.List;

/**
 * A ballot number. The incarnation identifies one run of a process, so no two processes, and no two runs of one
 * process, ever use the same number.
 */
public record Ballot(long round, String incarnation) implements Comparable<Ballot> {
    /** Lower than every ballot number in use. */
    public static final Ballot NONE = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : incarnation.compareTo(other.incarnation);
    }

    /** The ballot number as a tree for {@link Trees}. */
    public List<Object> tree() {
        return List.of(round, incarnation);
    }

    static Ballot of(Fields fields, String name) throws MalformedMessage {
        return of(fields.list(name));
    }

    /** Reads a ballot number from a tree. */
    public static Ballot of(Object tree) throws MalformedMessage {
        if (tree instanceof List<?> list
                && list.size() == 2
                && list.get(0) instanceof Long round
                && list.get(1) instanceof String incarnation) {
            return new Ballot(round, incarnation);
        }
        throw new MalformedMessage("not a ballot number");
    }
}
