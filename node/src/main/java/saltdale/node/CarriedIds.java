package saltdale.node;

import java.util.LinkedHashSet;
import java.util.Set;

/** The ids of the attempts that a connection carried last. */
final class CarriedIds {
    private static final int MOST = 32; // a late answer comes in the place of one of the next ones

    private final Set<String> ids = new LinkedHashSet<>();

    /** Notes that it carries this one; false where it did before. */
    boolean add(String id) {
        if (!ids.add(id)) {
            return false;
        }
        if (ids.size() > MOST) {
            ids.remove(ids.iterator().next());
        }
        return true;
    }
}
