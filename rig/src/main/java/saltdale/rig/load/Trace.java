package saltdale.rig.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltdale.rig.plan.InvalidInputException;
import saltdale.rig.plan.PlannedWorkload;
import saltdale.rig.plan.TomlTable;

/**
 * Recorded arrivals, as CSV with the header {@code at,workload,size} or as JSON lines with these fields: {@code at} in
 * seconds since the start of the trace, the name of the workload, {@code size} in seconds of work.
 *
 * <p>Scaling by 2 sends twice as many requests in the same time: each arrival is repeated as the factor says, and the
 * repetitions are spread over the gap to the next arrival. The fraction of a factor that is not whole is carried over,
 * so that only some arrivals get one more. Splicing moves a section to another time: {@code "10s..20s@5s"} moves the
 * arrivals from 10 s to 20 s to 5 s.
 */
public final class Trace {
    private record Line(double at, String workload, double size) {}

    private final String file;
    private final List<Line> lines = new ArrayList<>();

    private Trace(String file) {
        this.file = file;
    }

    /** Reads a trace file. */
    public static Trace read(Path file) {
        return of(file.toString(), TomlTable.readText(file));
    }

    /** Parses a trace; {@code name} is the name of the file in error messages. */
    public static Trace of(String name, String text) {
        Trace trace = new Trace(name);
        ObjectMapper json = new ObjectMapper();
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            if (line.isBlank() || number == 1 && line.strip().equals("at,workload,size")) {
                continue;
            }
            Line read = line.stripLeading().startsWith("{") ? trace.json(json, line, number) : trace.csv(line, number);
            if (!(read.at >= 0) || !(read.size > 0) || Double.isInfinite(read.at + read.size)) {
                throw trace.invalid(number, "at must be 0 or more, size over 0, in seconds");
            }
            trace.lines.add(read);
        }
        if (trace.lines.isEmpty()) {
            throw new InvalidInputException(name + ": contains no arrivals");
        }
        trace.lines.sort(Comparator.comparingDouble(Line::at));
        return trace;
    }

    private Line csv(String line, int number) {
        String[] columns = line.split(",", -1);
        try {
            if (columns.length == 3) {
                return new Line(
                        Double.parseDouble(columns[0].strip()),
                        columns[1].strip(),
                        Double.parseDouble(columns[2].strip()));
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw invalid(number, "expected at,workload,size with seconds, a name, seconds");
    }

    private Line json(ObjectMapper mapper, String line, int number) {
        try {
            JsonNode node = mapper.readTree(line);
            if (node.path("at").isNumber()
                    && node.path("workload").isTextual()
                    && node.path("size").isNumber()) {
                return new Line(
                        node.get("at").doubleValue(),
                        node.get("workload").textValue(),
                        node.get("size").doubleValue());
            }
        } catch (JsonProcessingException e) {
            // reported below
        }
        throw invalid(number, "expected {\"at\":seconds,\"workload\":\"name\",\"size\":seconds}");
    }

    private InvalidInputException invalid(int line, String problem) {
        return new InvalidInputException(file + ": line " + line + ": " + problem);
    }

    /** Returns a trace of the given sections, each moved to another time; without sections this trace. */
    public Trace spliced(List<String> parts) {
        if (parts.isEmpty()) {
            return this;
        }
        Trace result = new Trace(file);
        for (String part : parts) {
            String[] fields = part.split("\\.\\.|@");
            Duration[] spans = new Duration[3];
            for (int i = 0; i < 3; i++) {
                spans[i] = fields.length == 3 ? TomlTable.parseDuration(fields[i]) : null;
                if (spans[i] == null) {
                    throw new InvalidInputException(
                            file + ": splice: \"" + part + "\" is not of the form \"10s..20s@5s\"");
                }
            }
            double from = spans[0].toNanos() / 1e9;
            double to = spans[1].toNanos() / 1e9;
            double at = spans[2].toNanos() / 1e9;
            lines.stream()
                    .filter(line -> line.at >= from && line.at < to)
                    .forEach(line -> result.lines.add(new Line(line.at - from + at, line.workload, line.size)));
        }
        result.lines.sort(Comparator.comparingDouble(Line::at));
        return result;
    }

    /** The client requests of this trace, with the number of arrivals scaled by {@code scale}. */
    public List<ClientRequest> requests(List<PlannedWorkload> workloads, double scale, Duration length) {
        Map<String, PlannedWorkload> byName = new HashMap<>();
        workloads.forEach(job -> byName.put(job.name(), job));
        List<ClientRequest> requests = new ArrayList<>();
        double due = 0;
        for (int i = 0; i < lines.size(); i++) {
            Line line = lines.get(i);
            PlannedWorkload job = byName.get(line.workload);
            if (job == null) {
                throw new InvalidInputException(
                        file + ": workload " + line.workload + " is not defined in the scenario; defined workloads: "
                                + String.join(", ", new java.util.TreeSet<>(byName.keySet())));
            }
            double gap = i + 1 < lines.size() ? lines.get(i + 1).at - line.at : 0;
            due += scale;
            int times = (int) Math.floor(due + 1e-9);
            due -= times;
            for (int k = 0; k < times; k++) {
                Duration at = Duration.ofNanos((long) ((line.at + gap * k / times) * 1e9));
                if (at.compareTo(length) < 0) {
                    requests.add(new ClientRequest(requests.size(), at, job, line.size));
                }
            }
        }
        return requests;
    }
}
