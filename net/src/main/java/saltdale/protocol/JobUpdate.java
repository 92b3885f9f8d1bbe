package saltdale.protocol;

import java.util.Map;

/** A status update about one job, which the runner of the job sends to the dispatcher. */
public final class JobUpdate {
    /** The state of the job. */
    public enum State {
        /** The runner has started to execute the job. */
        STARTED,
        /** The job is being executed and has made progress. */
        RUNNING,
        /** The job is complete; the update holds its result. */
        DONE,
        /** The job ended with an error. */
        FAILED,
        /** The runner hands the job back instead of completing it; this counts as a rejection by the runner. */
        RETURNED,
        /** The runner has lost the job, which may have been executed in part. */
        LOST
    }

    /** The identifier of the job. */
    public String jobId;
    /** The name of the runner that sent the update. */
    public String runner;

    /** The state of the job when the update was sent. */
    public State state;
    /** The response body for the client; present if the job is done. */
    public byte[] result;
    /** The load report that is part of the update, or null. */
    public Map<String, Double> load;

    private JobUpdate() {}

    /** Parses an update; returns null if the text is not JSON or lacks a required field. */
    public static JobUpdate parse(byte[] text) {
        JobUpdate update = new JobUpdate();
        try {
            JsonReader json = new JsonReader(text);
            json.readObject(name -> update.readMember(json, name));
            json.expectEnd();
        } catch (JsonReader.MalformedJsonException e) {
            return null;
        }
        boolean complete = update.jobId != null
                && update.runner != null
                && update.state != null
                && (update.state != State.DONE || update.result != null);
        return complete ? update : null;
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

    private static State parseState(String state) throws JsonReader.MalformedJsonException {
        return switch (state) {
            case "started" -> State.STARTED;
            case "running" -> State.RUNNING;
            case "done" -> State.DONE;
            case "failed" -> State.FAILED;
            case "returned" -> State.RETURNED;
            case "lost" -> State.LOST;
            default -> throw new JsonReader.MalformedJsonException("unknown job state");
        };
    }
}
