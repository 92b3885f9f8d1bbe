package saltdale.protocol;

import java.util.ArrayList;
import java.util.List;

/** One message of discovery: the whole list of runners, or the entries that changed. */
public final class HostList {
    /** The state of one runner in the list. */
    public enum Health {
        UP,
        DRAINING,
        REMOVED
    }

    /** One runner; {@code bornMillis} is Unix time, 0 for long ago. */
    public record Host(
            String host,
            String dial,
            String site,
            String kind,
            int block,
            Health health,
            double share,
            long bornMillis) {}

    public final long seq;
    public final boolean whole;
    public final List<Host> hosts;

    private HostList(long seq, boolean whole, List<Host> hosts) {
        this.seq = seq;
        this.whole = whole;
        this.hosts = hosts;
    }

    /** Reads one; null where it is no JSON or lacks a field. */
    public static HostList read(byte[] text) {
        long[] seq = {-1};
        boolean[] whole = {false};
        List<Host> hosts = new ArrayList<>();
        boolean[] listed = {false};
        try {
            JsonReader json = new JsonReader(text);
            json.object(name -> {
                switch (name) {
                    case "seq" -> seq[0] = (long) json.number();
                    case "whole" -> whole[0] = json.flag();
                    case "hosts" -> {
                        listed[0] = true;
                        json.array(() -> hosts.add(host(json)));
                    }
                    default -> json.skip();
                }
            });
            json.end();
        } catch (JsonReader.Malformed e) {
            return null;
        }
        return seq[0] < 0 || !listed[0] ? null : new HostList(seq[0], whole[0], hosts);
    }

    private static Host host(JsonReader json) throws JsonReader.Malformed {
        String[] texts = new String[5];
        double[] numbers = {0, 1, 0};
        json.object(name -> {
            switch (name) {
                case "host" -> texts[0] = json.string();
                case "dial" -> texts[1] = json.string();
                case "site" -> texts[2] = json.string();
                case "class" -> texts[3] = json.string();
                case "health" -> texts[4] = json.string();
                case "block" -> numbers[0] = json.number();
                case "share" -> numbers[1] = json.number();
                case "born_ms" -> numbers[2] = json.number();
                default -> json.skip();
            }
        });
        if (texts[0] == null || texts[4] == null) {
            throw new JsonReader.Malformed("an entry lacks its host or health");
        }
        Health health = switch (texts[4]) {
            case "up" -> Health.UP;
            case "draining" -> Health.DRAINING;
            case "removed" -> Health.REMOVED;
            default -> throw new JsonReader.Malformed("no such health");
        };
        return new Host(
                texts[0],
                texts[1],
                texts[2] == null ? "" : texts[2],
                texts[3] == null ? "" : texts[3],
                (int) numbers[0],
                health,
                numbers[1],
                (long) numbers[2]);
    }
}
