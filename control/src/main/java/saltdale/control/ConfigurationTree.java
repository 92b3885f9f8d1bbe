package saltdale.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A configuration as fields and lists of named items. Two of them differ by a change, a tree that holds no more than
 * the fields and items that differ; both ends of a change check the digest of what comes out. Immutable; what did not
 * change is shared.
 */
public final class ConfigurationTree {
    private static final String SET = "set"; // fields, by name
    private static final String DROPPED = "dropped"; // names of fields and lists
    private static final String ITEMS = "items"; // new and changed items, by list
    private static final String REMOVED = "removed"; // names of items, by list

    private final Map<String, Object> fields; // all that is no list of named items
    private final Map<String, Map<String, Object>> lists; // items by the name of the list and their own
    private final SetDigest digest;

    private ConfigurationTree(Map<String, Object> fields, Map<String, Map<String, Object>> lists, SetDigest digest) {
        this.fields = fields;
        this.lists = lists;
        this.digest = digest;
    }

    /** Takes a configuration apart. */
    public static ConfigurationTree of(Map<String, Object> whole) {
        Map<String, Object> fields = new LinkedHashMap<>();
        Map<String, Map<String, Object>> lists = new LinkedHashMap<>();
        SetDigest digest = SetDigest.EMPTY;
        for (Map.Entry<String, Object> each : whole.entrySet()) {
            Map<String, Object> items = named(each.getValue());
            if (items == null) {
                fields.put(each.getKey(), each.getValue());
                digest = digest.plus(field(each.getKey(), each.getValue()));
                continue;
            }
            lists.put(each.getKey(), items);
            digest = digest.plus(each.getKey());
            for (Object item : items.values()) {
                digest = digest.plus(item(each.getKey(), item));
            }
        }
        return new ConfigurationTree(fields, lists, digest);
    }

    /** The items of a list by name; null where this is no list, or one of other things. */
    private static Map<String, Object> named(Object value) {
        if (!(value instanceof List<?> list)) {
            return null;
        }
        Map<String, Object> items = new LinkedHashMap<>();
        for (Object item : list) {
            if (!(item instanceof Map<?, ?> map
                    && map.get("name") instanceof String name
                    && items.put(name, item) == null)) {
                return null;
            }
        }
        return items;
    }

    private static Object field(String name, Object value) {
        return Arrays.asList("field", name, value);
    }

    private static Object item(String list, Object item) {
        return List.of("item", list, item);
    }

    /** The revision, -1 where there is none. */
    public long revision() {
        return fields.get("revision") instanceof Long revision ? revision : -1;
    }

    /** The digest of all fields and items; their order does not count. */
    public String digest() {
        return digest.text();
    }

    /** How many fields and items there are. */
    public int size() {
        return fields.size() + lists.values().stream().mapToInt(Map::size).sum();
    }

    /** The whole configuration as one tree. */
    public Map<String, Object> toMap() {
        Map<String, Object> whole = new LinkedHashMap<>(fields);
        lists.forEach((name, items) -> whole.put(name, new ArrayList<>(items.values())));
        return whole;
    }

    /** The change that makes the next configuration of this one. */
    public Map<String, Object> changeTo(ConfigurationTree next) {
        List<Object> dropped = new ArrayList<>();
        fields.keySet().stream().filter(name -> !next.fields.containsKey(name)).forEach(dropped::add);
        lists.keySet().stream().filter(name -> !next.lists.containsKey(name)).forEach(dropped::add);
        Map<String, Object> set = new LinkedHashMap<>();
        next.fields.forEach((name, value) -> {
            if (!fields.containsKey(name) || !Objects.equals(fields.get(name), value)) {
                set.put(name, value);
            }
        });
        Map<String, Object> items = new LinkedHashMap<>();
        Map<String, Object> removed = new LinkedHashMap<>();
        next.lists.forEach((name, nextItems) -> {
            Map<String, Object> present = lists.getOrDefault(name, Map.of());
            List<Object> changed = nextItems.entrySet().stream()
                    .filter(item -> !item.getValue().equals(present.get(item.getKey())))
                    .map(Map.Entry::getValue)
                    .toList();
            if (!changed.isEmpty() || !lists.containsKey(name)) {
                items.put(name, changed);
            }
            List<String> gone = present.keySet().stream()
                    .filter(item -> !nextItems.containsKey(item))
                    .toList();
            if (!gone.isEmpty()) {
                removed.put(name, gone);
            }
        });
        Map<String, Object> change = new LinkedHashMap<>();
        change.put(DROPPED, dropped);
        change.put(SET, set);
        change.put(REMOVED, removed);
        change.put(ITEMS, items);
        return change;
    }

    /** How many fields and items a change holds. */
    static int sizeOf(Map<String, Object> change) {
        int size = ((List<?>) change.get(DROPPED)).size() + ((Map<?, ?>) change.get(SET)).size();
        for (String part : List.of(REMOVED, ITEMS)) {
            for (Object list : ((Map<?, ?>) change.get(part)).values()) {
                size += ((List<?>) list).size();
            }
        }
        return size;
    }

    /** What comes out of this one by a change; the caller compares the digest. */
    public ConfigurationTree withChange(Map<String, Object> change) throws MalformedMessage {
        Fields parts = new Fields(change);
        Editor editor = new Editor();
        for (String name : parts.texts(DROPPED)) {
            editor.drop(name);
        }
        for (Map.Entry<String, Object> each : parts.object(SET).map().entrySet()) {
            editor.set(each.getKey(), each.getValue());
        }
        Fields removed = parts.object(REMOVED);
        for (String list : removed.map().keySet()) {
            for (String name : removed.texts(list)) {
                editor.remove(list, name);
            }
        }
        Fields items = parts.object(ITEMS);
        for (String list : items.map().keySet()) {
            editor.items(list);
            for (Fields item : items.objects(list)) {
                editor.put(list, item.text("name"), item.map());
            }
        }
        return new ConfigurationTree(editor.nextFields, editor.nextLists, editor.nextDigest);
    }

    /** Builds the next configuration; only lists that change are copied. */
    private final class Editor {
        final Map<String, Object> nextFields = new LinkedHashMap<>(fields);
        final Map<String, Map<String, Object>> nextLists = new LinkedHashMap<>(lists);
        SetDigest nextDigest = digest;

        void drop(String name) {
            if (nextFields.containsKey(name)) {
                nextDigest = nextDigest.minus(field(name, nextFields.remove(name)));
            }
            Map<String, Object> items = nextLists.remove(name);
            if (items != null) {
                nextDigest = nextDigest.minus(name);
                items.values().forEach(item -> nextDigest = nextDigest.minus(item(name, item)));
            }
        }

        void set(String name, Object value) {
            if (nextFields.containsKey(name)) {
                nextDigest = nextDigest.minus(field(name, nextFields.get(name)));
            }
            nextFields.put(name, value);
            nextDigest = nextDigest.plus(field(name, value));
        }

        Map<String, Object> items(String list) {
            Map<String, Object> present = nextLists.get(list);
            if (present == null) {
                nextDigest = nextDigest.plus(list);
                nextLists.put(list, new LinkedHashMap<>());
            } else if (present == lists.get(list)) {
                nextLists.put(list, new LinkedHashMap<>(present));
            }
            return nextLists.get(list);
        }

        void remove(String list, String name) {
            Object item = items(list).remove(name);
            if (item != null) {
                nextDigest = nextDigest.minus(item(list, item));
            }
        }

        void put(String list, String name, Map<String, Object> item) {
            Object before = items(list).put(name, item);
            if (before != null) {
                nextDigest = nextDigest.minus(item(list, before));
            }
            nextDigest = nextDigest.plus(item(list, item));
        }
    }
}
