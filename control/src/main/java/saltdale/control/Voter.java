package saltdale.control;

import java.util.List;

/**
 * A control node that votes. The {@code id} belongs to its disk: a control node that has lost its disk is
 * a different voter.
 */
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
        throw new MalformedMessage("not a voter");
    }

    /**
     * The id of a control node in the very first start of the cluster, which all control nodes derive from its address.
     */
    static String initialId(String host) {
        return "first:" + host;
    }
}
