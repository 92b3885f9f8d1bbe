package saltdale.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import saltdale.model.DispatcherSettings;
import saltdale.model.Durations;
import saltdale.model.Request;
import saltdale.model.Workload;
import saltdale.protocol.Head;
import saltdale.protocol.LoadReportParser;

/** Checks what clients hand in, and takes out the fields that decisions need. */
final class Intake {
    /** Why a request is not taken. */
    record Refusal(int status, String header, String why) {
        static Refusal method(String allowed) {
            return new Refusal(405, "Allow: " + allowed + "\r\n", "only " + allowed);
        }

        private static Refusal malformed(String field) {
            return new Refusal(400, "", field + " is missing or malformed");
        }
    }

    private static final String RECEIPT = "Idempotency-Key";
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9._~-]{1,128}");
    private static final Pattern PATIENCE = Pattern.compile("0*[1-9][0-9]{0,8}");
    private static final Pattern KEY = Pattern.compile("[!-~]{1,255}");
    private static final Pattern HINT = Pattern.compile("[1-9][0-9]{0,11}");

    private final Map<String, Workload> workloads = new HashMap<>();

    Intake(DispatcherSettings orders) {
        for (Workload workload : orders.workloads) {
            workloads.put(workload.name, workload);
        }
    }

    /** What is wrong with the request; null where it can be taken. */
    Refusal refusal(Head head, Predicate<String> held) {
        Workload workload = workload(head);
        if (workload == null) {
            return new Refusal(404, "", "no such workload");
        } else if (!head.method().equals("POST")) {
            return Refusal.method("POST");
        } else if (!matches(id(head), ID)) {
            return Refusal.malformed("Request-Id");
        } else if (!matches(head.uniqueHeader("Request-Timeout-Ms"), PATIENCE)) {
            return Refusal.malformed("Request-Timeout-Ms");
        } else if (!matches(head.uniqueHeader(RECEIPT), KEY)
                && (workload.repeatSafety == Workload.RepeatSafety.RECEIPTED || head.header(RECEIPT) != null)) {
            return Refusal.malformed(RECEIPT);
        } else if (held.test(id(head))) {
            return new Refusal(409, "", "this Request-Id is held already");
        }
        return null;
    }

    static String id(Head head) {
        return head.uniqueHeader("Request-Id");
    }

    /** The assignment that a request with nothing wrong with it hands in; it came at this time, at the earliest. */
    Request assignment(Head head, Duration came) {
        Workload workload = workload(head);
        // Guards against a patience beyond all measure: where the workload has one, no client waits longer.
        Duration most = workload.clientTimeout.isZero() ? Duration.ofDays(1) : workload.clientTimeout;
        Request a = new Request(
                workload,
                came,
                Durations.min(Duration.ofMillis(Long.parseLong(head.header("Request-Timeout-Ms"))), most));
        a.markedAsRetry = "1".equals(head.header("Client-Retry"));
        String hint = head.header("Work-Hint"); // microseconds, where clients know
        a.runTimeHint = matches(hint, HINT) ? Durations.min(Duration.ofNanos(1000 * Long.parseLong(hint)), most) : null;
        Map<String, Double> figures = LoadReportParser.parsePairs(head.header("Request-Info"));
        if (figures != null) {
            double slots = figures.getOrDefault("slots", 1.0);
            a.slots = slots == 0 ? 1 : slots;
            a.memory = figures.getOrDefault("memory", 0.0);
        }
        return a;
    }

    /** By the first part of the path. */
    private Workload workload(Head head) {
        String path = head.path();
        int end = path.indexOf('/', 1);
        return workloads.get(path.substring(1, end < 0 ? path.length() : end));
    }

    private static boolean matches(String value, Pattern pattern) {
        return value != null && pattern.matcher(value).matches();
    }
}
