package saltdale.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A configuration as fields and lists of named items. The difference of two configurations is a change: a tree that
 * holds only the fields and items that differ. Sender and receiver of a change both check the digest of the result.
 * Immutable; unchanged parts are shared.
 */
public final class ConfigurationTree {
    private static final String SET = "set"; // fields, by name
    private static final String DROPPED = "dropped"; // names of fields and lists
    private static final String ITEMS = "items"; // new and changed items, by list
    private static final String REMOVED = "removed"; // names of items, by list

    private final Map<String, Object> fields; // everything that is not a list of named items
    private final Map<String, Map<String, Object>> lists; // items by list name and item name
    private final SetDigest digest;

    private ConfigurationTree(Map<String, Object> fields, Map<String, Map<String, Object>> lists, SetDigest digest) {
        this.fields = fields;
        this.lists = lists;
        this.digest = digest;
    }

    /** Splits a configuration into fields and items. */
    public static ConfigurationTree of(Map<String, Object> configuration) {
        Map<String, Object> fields = new LinkedHashMap<>();
        Map<String, Map<String, Object>> lists = new LinkedHashMap<>();
        SetDigest digest = SetDigest.EMPTY;
        for (Map.Entry<String, Object> entry : configuration.entrySet()) {
            Map<String, Object> items = namedItems(entry.getValue());
            if (items == null) {
                fields.put(entry.getKey(), entry.getValue());
                digest = digest.plus(fieldPart(entry.getKey(), entry.getValue()));
                continue;
            }
            lists.put(entry.getKey(), items);
            digest = digest.plus(entry.getKey());
            for (Object item : items.values()) {
                digest = digest.plus(itemPart(entry.getKey(), item));
            }
        }
        return new ConfigurationTree(fields, lists, digest);
    }

    /** The items of a list by name; {@code null} if the value is not a list of uniquely named items. */
    private static Map<String, Object> namedItems(Object value) {
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

    private static Object fieldPart(String name, Object value) {
        return Arrays.asList("field", name, value);
    }

    private static Object itemPart(String list, Object item) {
        return List.of("item", list, item);
    }

    /** The revision; -1 if there is none. */
    public long revision() {
        return fields.get("revision") instanceof Long revision ? revision : -1;
    }

    /** The digest of all fields and items, independent of their order. */
    public String digest() {
        return digest.text();
    }

    /** The number of fields and items. */
    public int size() {
        return fields.size() + lists.values().stream().mapToInt(Map::size).sum();
    }

    /** The whole configuration as one tree. */
    public Map<String, Object> toMap() {
        Map<String, Object> configuration = new LinkedHashMap<>(fields);
        lists.forEach((name, items) -> configuration.put(name, new ArrayList<>(items.values())));
        return configuration;
    }

    /** The change that turns this configuration into {@code next}. */
    public Map<String, Object> changeTo(ConfigurationTree next) {
        return next.changeFor(differenceTo(next));
    }

    /** The names of what differs in {@code next}. */
    ConfigurationDifference differenceTo(ConfigurationTree next) {
        ConfigurationDifference difference = new ConfigurationDifference();
        fields.keySet().stream().filter(name -> !next.fields.containsKey(name)).forEach(difference::addReplaced);
        lists.keySet().stream().filter(name -> !next.lists.containsKey(name)).forEach(difference::addReplaced);
        next.fields.forEach((name, value) -> {
            if (!fields.containsKey(name) || !Objects.equals(fields.get(name), value)) {
                difference.addChangedField(name);
            }
        });
        next.lists.forEach((list, nextItems) -> {
            Map<String, Object> present = lists.get(list);
            if (present == null) {
                difference.addReplaced(list);
                return;
            }
            nextItems.forEach((name, item) -> {
                if (!item.equals(present.get(name))) {
                    difference.addChangedItem(list, name);
                }
            });
            present.keySet().stream()
                    .filter(name -> !nextItems.containsKey(name))
                    .forEach(name -> difference.addChangedItem(list, name));
        });
        return difference;
    }

    /** The change that turns a configuration that differs in no more than this into this one. */
    Map<String, Object> changeFor(ConfigurationDifference difference) {
        Map<String, Object> set = new LinkedHashMap<>();
        Map<String, Object> items = new LinkedHashMap<>();
        Map<String, Object> removed = new LinkedHashMap<>();
        for (String name : difference.replaced()) {
            if (lists.containsKey(name)) {
                items.put(name, new ArrayList<>(lists.get(name).values()));
            } else if (fields.containsKey(name)) {
                set.put(name, fields.get(name));
            }
        }
        difference.changedFields().stream()
                .filter(fields::containsKey)
                .forEach(name -> set.put(name, fields.get(name)));
        difference.changedItems().forEach((list, names) -> {
            Map<String, Object> present = lists.get(list);
            if (present == null || difference.replaced().contains(list)) {
                return;
            }
            List<Object> changed =
                    names.stream().map(present::get).filter(Objects::nonNull).toList();
            List<String> gone =
                    names.stream().filter(name -> !present.containsKey(name)).toList();
            if (!changed.isEmpty()) {
                items.put(list, changed);
            }
            if (!gone.isEmpty()) {
                removed.put(list, gone);
            }
        });
        Map<String, Object> change = new LinkedHashMap<>();
        change.put(DROPPED, new ArrayList<>(difference.replaced()));
        change.put(SET, set);
        change.put(REMOVED, removed);
        change.put(ITEMS, items);
        return change;
    }

    /** The number of fields and items in a change. */
    static int changeSize(Map<String, Object> change) {
        int size = ((List<?>) change.get(DROPPED)).size() + ((Map<?, ?>) change.get(SET)).size();
        for (String part : List.of(REMOVED, ITEMS)) {
            for (Object list : ((Map<?, ?>) change.get(part)).values()) {
                size += ((List<?>) list).size();
            }
        }
        return size;
    }

    /** The result of applying a change to this configuration; the caller compares the digest. */
    public ConfigurationTree withChange(Map<String, Object> change) throws MalformedMessage {
        Fields parts = new Fields(change);
        Editor editor = new Editor();
        for (String name : parts.texts(DROPPED)) {
            editor.drop(name);
        }
        for (Map.Entry<String, Object> entry : parts.object(SET).map().entrySet()) {
            editor.set(entry.getKey(), entry.getValue());
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
                nextDigest = nextDigest.minus(fieldPart(name, nextFields.remove(name)));
            }
            Map<String, Object> items = nextLists.remove(name);
            if (items != null) {
                nextDigest = nextDigest.minus(name);
                items.values().forEach(item -> nextDigest = nextDigest.minus(itemPart(name, item)));
            }
        }

        void set(String name, Object value) {
            if (nextFields.containsKey(name)) {
                nextDigest = nextDigest.minus(fieldPart(name, nextFields.get(name)));
            }
            nextFields.put(name, value);
            nextDigest = nextDigest.plus(fieldPart(name, value));
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
                nextDigest = nextDigest.minus(itemPart(list, item));
            }
        }

        void put(String list, String name, Map<String, Object> item) {
            Object previous = items(list).put(name, item);
            if (previous != null) {
                nextDigest = nextDigest.minus(itemPart(list, previous));
            }
            nextDigest = nextDigest.plus(itemPart(list, item));
        }
    }
}
