package saltdale.protocol;

import java.util.Map;

/** What a runner tells of a job by calling back. */
public final class News {
    /** How far the job has come. */
    public enum State {
        STARTED,
        RUNNING,
        DONE,
        FAILED,
        RETURNED,
        LOST
    }

    public String id;
    public String from;
    public State state;
    /** The body for the client, where it is done. */
    public byte[] result;
    /** The load report that came along; null where none did. */
    public Map<String, Double> load;

    private News() {}

    /** Reads one; null where it is no JSON or lacks a field. */
    public static News read(byte[] text) {
        News news = new News();
        try {
            JsonReader json = new JsonReader(text);
            json.object(name -> news.member(json, name));
            json.end();
        } catch (JsonReader.Malformed e) {
            return null;
        }
        boolean whole = news.id != null
                && news.from != null
                && news.state != null
                && (news.state != State.DONE || news.result != null);
        return whole ? news : null;
    }

    private void member(JsonReader json, String name) throws JsonReader.Malformed {
        switch (name) {
            case "id" -> id = json.string();
            case "from" -> from = json.string();
            case "state" -> state = state(json.string());
            case "result" -> result = json.bytes();
            case "load" -> load = json.isNull() ? null : Load.object(json);
            default -> json.skip();
        }
    }

    private static State state(String word) throws JsonReader.Malformed {
        return switch (word) {
            case "started" -> State.STARTED;
            case "running" -> State.RUNNING;
            case "done" -> State.DONE;
            case "failed" -> State.FAILED;
            case "returned" -> State.RETURNED;
            case "lost" -> State.LOST;
            default -> throw new JsonReader.Malformed("no such state");
        };
    }
}
