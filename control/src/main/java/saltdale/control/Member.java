package saltdale.control;

import java.util.List;

/** A dispatcher that carries calls, in one life of its process, while its lease is renewed. */
public record Member(String incarnation, String name, String zone, String host, boolean leaving) {
    public List<Object> tree() {
        return List.of(incarnation, name, zone, host, leaving);
    }

    public static Member of(Object tree) throws MalformedMessage {
        if (tree instanceof List<?> list
                && list.size() >= 5
                && list.get(0) instanceof String life
                && list.get(1) instanceof String name
                && list.get(2) instanceof String zone
                && list.get(3) instanceof String host
                && list.get(4) instanceof Boolean leaving) {
            return new Member(life, name, zone, host, leaving);
        }
        throw new MalformedMessage("no member");
    }
}
