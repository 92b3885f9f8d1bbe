package saltdale.control;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;

/**
 * An immutable map of the fields of an object, in the order in which they were read. It takes a fraction of the memory
 * of a hash map, since objects with the same fields share one array of names.
 */
final class FieldMap extends AbstractMap<String, Object> {
    /** Fields are searched one by one, so that objects with more of them need a hash map. */
    static final int MAX_FIELDS = 24;

    /** The arrays of names that the objects of one document share. */
    static final class Names {
        private static final int MAX_ARRAYS = 256;

        private final Map<List<String>, String[]> arrays = new HashMap<>();

        private String[] shared(String[] names) {
            List<String> key = Arrays.asList(names);
            String[] known = arrays.get(key);
            if (known == null && arrays.size() < MAX_ARRAYS) {
                arrays.put(key, names);
            }
            return known == null ? names : known;
        }
    }

    private static final FieldMap EMPTY = new FieldMap(new String[0], new Object[0]);

    private final String[] names;
    private final Object[] values;

    private FieldMap(String[] names, Object[] values) {
        this.names = names;
        this.values = values;
    }

    /** Returns a map with these fields, which takes little memory if they are few. */
    static Map<String, Object> of(Map<String, Object> fields, Names names) {
        if (fields.isEmpty()) {
            return EMPTY;
        } else if (fields.size() > MAX_FIELDS) {
            return fields;
        }
        return new FieldMap(
                names.shared(fields.keySet().toArray(new String[0])),
                fields.values().toArray());
    }

    private int indexOf(Object name) {
        for (int i = 0; i < names.length; i++) {
            if (names[i].equals(name)) {
                return i;
            }
        }
        return -1;
    }

    @Override
    public Object get(Object name) {
        int index = indexOf(name);
        return index < 0 ? null : values[index];
    }

    @Override
    public boolean containsKey(Object name) {
        return indexOf(name) >= 0;
    }

    @Override
    public Set<Entry<String, Object>> entrySet() {
        return new AbstractSet<>() {
            @Override
            public Iterator<Entry<String, Object>> iterator() {
                return new EntryIterator();
            }

            @Override
            public int size() {
                return names.length;
            }
        };
    }

    private final class EntryIterator implements Iterator<Entry<String, Object>> {
        private int next;

        @Override
        public boolean hasNext() {
            return next < names.length;
        }

        @Override
        public Entry<String, Object> next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            Entry<String, Object> entry = new SimpleImmutableEntry<>(names[next], values[next]);
            next++;
            return entry;
        }
    }
}
