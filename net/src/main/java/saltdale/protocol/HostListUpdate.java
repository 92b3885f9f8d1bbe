package saltdale.protocol;

import java.util.ArrayList;
import java.util.List;

/** A message of the discovery service: either the complete list of runners, or only the entries that changed. */
public final class HostListUpdate {
    /** The state of one runner in the list. */
    public enum Health {
        /** The runner accepts jobs. */
        UP,
        /** The runner finishes its jobs and accepts no new ones. */
        DRAINING,
        /** The runner is no longer part of the list. */
        REMOVED
    }

    /**
     * An entry of the list.
     *
     * @param name the unique name of the runner
     * @param address the numeric host and port that the runner listens on
     * @param site the zone of the runner
     * @param kind the machine class of the runner
     * @param block the number of the cell that the runner belongs to
     * @param share the capacity of the runner relative to an ordinary one
     * @param startedUnixMillis the start time of the runner in Unix time, or 0 if it started long ago
     */
    public record Host(
            String name,
            String address,
            String site,
            String kind,
            int block,
            Health health,
            double share,
            long startedUnixMillis) {}

    /** The sequence number of the message. */
    public final long seq;
    /** Whether the message holds all runners. */
    public final boolean complete;

    /** All runners, or those whose entries changed. */
    public final List<Host> hosts;

    private HostListUpdate(long seq, boolean complete, List<Host> hosts) {
        this.seq = seq;
        this.complete = complete;
        this.hosts = hosts;
    }

    /** Parses a message; returns null if the text is not JSON or lacks a required field. */
    public static HostListUpdate parse(byte[] text) {
        long[] seq = {-1};
        boolean[] complete = {false};
        List<Host> hosts = new ArrayList<>();
        boolean[] hasHosts = {false};
        try {
            JsonReader json = new JsonReader(text);
            json.readObject(name -> {
                switch (name) {
                    case "seq" -> seq[0] = (long) json.readNumber();
                    case "whole" -> complete[0] = json.readBoolean();
                    case "hosts" -> {
                        hasHosts[0] = true;
                        json.readArray(() -> hosts.add(parseHost(json)));
                    }
                    default -> json.skipValue();
                }
            });
            json.expectEnd();
        } catch (JsonReader.MalformedJsonException e) {
            return null;
        }
        return seq[0] < 0 || !hasHosts[0] ? null : new HostListUpdate(seq[0], complete[0], hosts);
    }

    private static Host parseHost(JsonReader json) throws JsonReader.MalformedJsonException {
        String[] texts = new String[5];
        double[] numbers = {0, 1, 0};
        json.readObject(name -> {
            switch (name) {
                case "host" -> texts[0] = json.readString();
                case "dial" -> texts[1] = json.readString();
                case "site" -> texts[2] = json.readString();
                case "class" -> texts[3] = json.readString();
                case "health" -> texts[4] = json.readString();
                case "block" -> numbers[0] = json.readNumber();
                case "share" -> numbers[1] = json.readNumber();
                case "born_ms" -> numbers[2] = json.readNumber();
                default -> json.skipValue();
            }
        });
        if (texts[0] == null || texts[4] == null) {
            throw new JsonReader.MalformedJsonException("entry without host or health");
        }
        Health health = switch (texts[4]) {
            case "up" -> Health.UP;
            case "draining" -> Health.DRAINING;
            case "removed" -> Health.REMOVED;
            default -> throw new JsonReader.MalformedJsonException("unknown health value");
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
