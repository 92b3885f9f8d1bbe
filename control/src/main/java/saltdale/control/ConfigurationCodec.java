package saltdale.control;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads, amends and writes the configuration text that operators send. Items keep all the fields that they came with,
 * known or not.
 */
public final class ConfigurationCodec {
    /** The largest size of a configuration, in bytes of JSON. A control node holds several versions in memory. */
    public static final int MAX_TEXT_BYTES = 4 << 20;

    /**
     * The most values of a configuration or an order: one for each ten bytes of the largest. Values that say something
     * take more bytes than that, and a text of empty objects would take twenty times its size as a tree.
     */
    public static final int MAX_VALUES = MAX_TEXT_BYTES / 10;

    private static final int TEXT_DIGEST_BYTES = 12;

    private ConfigurationCodec() {}

    /**
     * Parses a configuration or an amendment that an operator sends. The result is what other nodes will read once it
     * has been written again.
     */
    static Map<String, Object> readOrder(byte[] text) throws InvalidConfiguration {
        try {
            return Trees.fromJson(write(Trees.fromJson(text, MAX_VALUES)), MAX_VALUES);
        } catch (MalformedMessage e) {
            throw new InvalidConfiguration("not a complete JSON document: " + e.getMessage());
        }
    }

    /**
     * Parses a configuration that was agreed on. Earlier releases accepted texts with half of a surrogate pair; such a
     * version must not hold up those after it, so the half is replaced here.
     */
    static Map<String, Object> readAgreed(byte[] text) throws InvalidConfiguration {
        try {
            return Trees.fromJsonWithRepairs(text);
        } catch (MalformedMessage e) {
            throw new InvalidConfiguration("the agreed text cannot be read: " + e.getMessage());
        }
    }

    /** Writes a configuration as JSON. */
    static byte[] write(Map<String, Object> tree) {
        return Trees.toJson(tree);
    }

    /** Applies an amendment: sets and removes items by name, and sets the new revision. */
    static Map<String, Object> amend(Map<String, Object> present, Fields change) throws InvalidConfiguration {
        Map<String, Object> next = new LinkedHashMap<>(present);
        try {
            next.put("revision", change.integer("revision"));
            Fields removed = change.has("remove_names") ? change.object("remove_names") : new Fields(Map.of());
            for (String list : removed.map().keySet()) {
                List<String> names = removed.texts(list);
                List<Object> items = new Fields(next).list(list);
                items.removeIf(item -> item instanceof Map<?, ?> map && names.contains(map.get("name")));
                next.put(list, items);
            }
            Fields set = change.has("set_items") ? change.object("set_items") : new Fields(Map.of());
            for (String list : set.map().keySet()) {
                List<Object> items = new Fields(next).list(list);
                for (Fields item : set.objects(list)) {
                    put(items, item);
                }
                next.put(list, items);
            }
        } catch (MalformedMessage e) {
            throw new InvalidConfiguration(e.getMessage());
        }
        return next;
    }

    private static void put(List<Object> items, Fields item) throws MalformedMessage {
        String name = item.text("name");
        for (int i = 0; i < items.size(); i++) {
            if (items.get(i) instanceof Map<?, ?> map && name.equals(map.get("name"))) {
                items.set(i, item.map());
                return;
            }
        }
        items.add(item.map());
    }

    /** A digest that identifies a text. */
    static String textDigest(byte[] text) {
        return HexFormat.of().formatHex(digest(text), 0, TEXT_DIGEST_BYTES);
    }

    /** A digest of these parts, including the boundaries between them. */
    static byte[] digest(byte[]... parts) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                sha256.update(part);
                sha256.update((byte) 0);
            }
            return sha256.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
