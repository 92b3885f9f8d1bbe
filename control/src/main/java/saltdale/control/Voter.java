package saltdale.control;

import java.util.List;

/** A control node that votes: {@code id} is of its disk, so that one whose disk was lost is another voter. */
public record Voter(String id, String name, String host) {
    List<Object> tree() {
        return List.of(id, name, host);
    }

    static Voter of(Object tree) throws MalformedMessage {
        if (tree instanceof List<?> list
                && list.size() == 3
                && list.get(0) instanceof String id
                && list.get(1) instanceof String name
                && list.get(2) instanceof String host) {
            return new Voter(id, name, host);
        }
        throw new MalformedMessage("no voter");
    }

    /** The id of a control node of the first start of all, which all can tell from its address. */
    static String initialId(String host) {
        return "first:" + host;
    }
}
