package saltdale.control;

import java.util.List;

/** A proxy that handles requests while its lease is renewed; {@code incarnation} identifies one run of its process. */
public record Member(String incarnation, String name, String zone, String host, boolean leaving) {
    /** The member as a tree for {@link Trees}. */
    public List<Object> tree() {
        return List.of(incarnation, name, zone, host, leaving);
    }

    /** Reads a member from a tree. */
    public static Member of(Object tree) throws MalformedMessage {
        if (tree instanceof List<?> list
                && list.size() >= 5
                && list.get(0) instanceof String incarnation
                && list.get(1) instanceof String name
                && list.get(2) instanceof String zone
                && list.get(3) instanceof String host
                && list.get(4) instanceof Boolean leaving) {
            return new Member(incarnation, name, zone, host, leaving);
        }
        throw new MalformedMessage("not a member");
    }
}
