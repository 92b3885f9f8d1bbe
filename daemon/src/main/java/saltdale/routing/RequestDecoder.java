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

/** Validates the requests of clients and extracts the fields that the dispatcher's decisions need. */
final class RequestDecoder {
    /**
     * The response to a request that is not accepted.
     *
     * @param status the HTTP status
     * @param header complete header lines, or an empty string
     * @param reason the response body
     */
    record Rejection(int status, String header, String reason) {
        static Rejection methodNotAllowed(String allowed) {
            return new Rejection(405, "Allow: " + allowed + "\r\n", "only " + allowed);
        }

        private static Rejection malformed(String field) {
            return new Rejection(400, "", field + " is missing or malformed");
        }
    }

    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final Pattern ID_PATTERN = Pattern.compile("[A-Za-z0-9._~-]{1,128}");
    private static final Pattern TIMEOUT_MILLIS_PATTERN = Pattern.compile("0*[1-9][0-9]{0,8}");
    private static final Pattern KEY_PATTERN = Pattern.compile("[!-~]{1,255}");
    private static final Pattern HINT_MICROS_PATTERN = Pattern.compile("[1-9][0-9]{0,11}");

    private final Map<String, Workload> workloads = new HashMap<>();

    RequestDecoder(DispatcherSettings settings) {
        for (Workload workload : settings.workloads) {
            workloads.put(workload.name, workload);
        }
    }

    /** Returns why the request is rejected, or null if it is valid; {@code isPending} tells whether an id is in use. */
    Rejection validate(Head head, Predicate<String> isPending) {
        Workload workload = workload(head);
        if (workload == null) {
            return new Rejection(404, "", "no such workload");
        } else if (!head.method().equals("POST")) {
            return Rejection.methodNotAllowed("POST");
        } else if (!matches(id(head), ID_PATTERN)) {
            return Rejection.malformed("Request-Id");
        } else if (!matches(head.uniqueHeader("Request-Timeout-Ms"), TIMEOUT_MILLIS_PATTERN)) {
            return Rejection.malformed("Request-Timeout-Ms");
        } else if (!matches(head.uniqueHeader(IDEMPOTENCY_KEY), KEY_PATTERN)
                && (workload.repeatSafety == Workload.RepeatSafety.RECEIPTED || head.header(IDEMPOTENCY_KEY) != null)) {
            return Rejection.malformed(IDEMPOTENCY_KEY);
        } else if (isPending.test(id(head))) {
            return new Rejection(409, "", "a request with this Request-Id is already pending");
        }
        return null;
    }

    /** Returns the value of Request-Id, or null if the header is missing or repeated. */
    static String id(Head head) {
        return head.uniqueHeader("Request-Id");
    }

    /** Decodes a valid request; {@code arrivedAt} is the earliest time at which it can have arrived. */
    Request decode(Head head, Duration arrivedAt) {
        Workload workload = workload(head);
        // Limits the timeout of the client: to the client timeout of the workload, or to a day where it has none.
        Duration maxTimeout = workload.clientTimeout.isZero() ? Duration.ofDays(1) : workload.clientTimeout;
        Request request = new Request(
                workload,
                arrivedAt,
                Durations.min(Duration.ofMillis(Long.parseLong(head.header("Request-Timeout-Ms"))), maxTimeout));
        request.markedAsRetry = "1".equals(head.header("Client-Retry"));
        String hint = head.header("Work-Hint"); // expected run time in microseconds, from clients that know it
        request.runTimeHint = matches(hint, HINT_MICROS_PATTERN)
                ? Durations.min(Duration.ofNanos(1000 * Long.parseLong(hint)), maxTimeout)
                : null;
        Map<String, Double> info = LoadReportParser.parsePairs(head.header("Request-Info"));
        if (info != null) {
            double slots = info.getOrDefault("slots", 1.0);
            request.slots = slots == 0 ? 1 : slots;
            request.memory = info.getOrDefault("memory", 0.0);
        }
        return request;
    }

    /** Returns the workload that the first segment of the path names, or null. */
    private Workload workload(Head head) {
        String path = head.path();
        int end = path.indexOf('/', 1);
        return workloads.get(path.substring(1, end < 0 ? path.length() : end));
    }

    private static boolean matches(String value, Pattern pattern) {
        return value != null && pattern.matcher(value).matches();
    }
}
