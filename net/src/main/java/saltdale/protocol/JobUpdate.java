package saltdale.protocol;

import java.util.Map;

/** What a runner tells of a job by calling back. */
public final class JobUpdate {
    /** How far the job has come. */
    public enum State {
        STARTED,
        RUNNING,
        DONE,
        FAILED,
        RETURNED,
        LOST
    }

    public String jobId;
    public String runner;
    public State state;
    /** The body for the client, where it is done. */
    public byte[] result;
    /** The load report that came along; null where none did. */
    public Map<String, Double> load;

    private JobUpdate() {}

    /** Reads one; null where it is no JSON or lacks a field. */
    public static JobUpdate parse(byte[] text) {
        JobUpdate news = new JobUpdate();
        try {
            JsonReader json = new JsonReader(text);
            json.readObject(name -> news.readMember(json, name));
            json.expectEnd();
        } catch (JsonReader.MalformedJsonException e) {
            return null;
        }
        boolean whole = news.jobId != null
                && news.runner != null
                && news.state != null
                && (news.state != State.DONE || news.result != null);
        return whole ? news : null;
    }

    private void readMember(JsonReader json, String name) throws JsonReader.MalformedJsonException {
        switch (name) {
            case "id" -> jobId = json.readString();
            case "from" -> runner = json.readString();
            case "state" -> state = parseState(json.readString());
            case "result" -> result = json.readStringBytes();
            case "load" -> load = json.consumeNull() ? null : LoadReportParser.parseObject(json);
            default -> json.skipValue();
        }
    }

    private static State parseState(String word) throws JsonReader.MalformedJsonException {
        return switch (word) {
            case "started" -> State.STARTED;
            case "running" -> State.RUNNING;
            case "done" -> State.DONE;
            case "failed" -> State.FAILED;
            case "returned" -> State.RETURNED;
            case "lost" -> State.LOST;
            default -> throw new JsonReader.MalformedJsonException("no such state");
        };
    }
}
