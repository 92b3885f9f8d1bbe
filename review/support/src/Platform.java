import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A stand-in of the platform: a worker with room in each zone; a runner has started when the call for it returns. */
final class Platform {
    private record Started(String identifier, String entry, Runner runner) {}

    private final String net;
    private final Record record;
    private final Runner.Answers answers;
    private final HttpServer server;
    private final Map<String, Started> startedByNonce = new LinkedHashMap<>();
    private int startCount;

    Platform(String net, Record record, Runner.Answers answers) throws IOException {
        this.net = net;
        this.record = record;
        this.answers = answers;
        server = HttpServer.create(new InetSocketAddress(net + "8.1", 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return net + "8.1:" + server.getAddress().getPort();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String call = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        switch (exchange.getRequestURI().getPath()) {
            case "/workers" -> reply(exchange, 200, workers());
            case "/runners" -> reply(exchange, 200, runners());
            case "/begin" -> reply(exchange, 200, begin(call));
            case "/stop" -> reply(exchange, stop(text(call, "identifier")) ? 200 : 404, "{}");
            default -> reply(exchange, 404, "{}");
        }
    }

    private static String workers() {
        return Deployment.ZONES.stream()
                .map(zone -> "{\"name\":\"w-" + zone + "\",\"zone\":\"" + zone
                        + "\",\"memory_mb\":7413,\"free_memory_mb\":4096,\"state\":\"ready\"}")
                .collect(Collectors.joining(",", "{\"worker_machines\":[", "]}"));
    }

    private synchronized String runners() {
        return startedByNonce.values().stream()
                .map(Started::entry)
                .collect(Collectors.joining(",", "{\"instances\":[", "],\"next_page_token\":null}"));
    }

    private synchronized String begin(String call) throws IOException {
        String service = text(call, "service");
        String worker = text(call, "worker_machine");
        String nonce = service + " " + text(call, "request_nonce");
        Started started = startedByNonce.get(nonce);
        if (started == null) {
            String identifier = "i-" + ++startCount;
            Runner runner = new Runner(net, identifier, record, answers);
            String entry = "{\"identifier\":\"" + identifier + "\",\"service\":\"" + service + "\",\"address\":\""
                    + runner.address() + "\",\"zone\":\"" + worker.substring(2)
                    + "\",\"revision\":\"v1\",\"concurrency_slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,"
                    + "\"worker_machine\":\"" + worker + "\"}";
            started = new Started(identifier, entry, runner);
            startedByNonce.put(nonce, started);
        }
        return "{\"identifier\":\"" + started.identifier() + "\",\"address\":\""
                + started.runner().address() + "\"}";
    }

    private synchronized boolean stop(String identifier) {
        return startedByNonce.values().removeIf(started -> {
            if (!started.identifier().equals(identifier)) {
                return false;
            }
            started.runner().stop();
            return true;
        });
    }

    private static void reply(HttpExchange exchange, int status, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static String text(String json, String name) {
        Matcher matcher =
                Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }
}
