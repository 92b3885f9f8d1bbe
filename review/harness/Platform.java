import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of the platform: workers, the list of runners, starts and stops, as PROTOCOL.md says. */
final class Platform {
    /** A service as far as the platform needs it. */
    record Service(String name, int memoryMb, int bootMillis, int slots) {}

    /** A worker machine. */
    static final class Worker {
        final String name;
        final String zone;
        final int memoryMb;
        volatile boolean up = true;

        Worker(String name, String zone, int memoryMb) {
            this.name = name;
            this.zone = zone;
            this.memoryMb = memoryMb;
        }
    }

    private static final long LAG_MILLIS = 800;
    private static final long CRASHED_STAYS_LISTED_MILLIS = 3000;

    private final int net;
    private final Record record;
    private final Runner.Work work;
    private final int segmentBytes;
    private final int windowBytes;
    private final Map<String, Service> services = new LinkedHashMap<>();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final Map<String, Runner> runners = new LinkedHashMap<>();
    private final Map<String, Runner> byNonce = new LinkedHashMap<>();
    private final HttpServer server;
    private int number;

    Platform(int net, Record record, Runner.Work work, int segmentBytes, int windowBytes) throws IOException {
        this.net = net;
        this.record = record;
        this.work = work;
        this.segmentBytes = segmentBytes;
        this.windowBytes = windowBytes;
        server = HttpServer.create(new InetSocketAddress("127." + net + ".250.1", 8240), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
    }

    void start() {
        server.start();
    }

    void add(Service service) {
        services.put(service.name(), service);
    }

    void add(Worker worker) {
        workers.put(worker.name, worker);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        String answer;
        int status = 200;
        switch (path) {
            case "/runners" -> answer = list();
            case "/workers" -> answer = workerList();
            case "/begin", "/stop" -> {
                String holder = exchange.getRequestHeaders().getFirst("X-Saltdale-Duty-Holder");
                String fence = exchange.getRequestHeaders().getFirst("X-Saltdale-Fence-Number");
                Reply reply = path.equals("/begin") ? begin(body) : stop(body);
                status = reply.status;
                answer = reply.text;
                record.add("platform %s by %s fence %s: %s -> %d %s", path, holder, fence, body, status, answer);
            }
            default -> {
                status = 404;
                answer = "{}";
            }
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private record Reply(int status, String text) {}

    private static String field(String json, String name) {
        Matcher found = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return found.find() ? found.group(1) : null;
    }

    private synchronized Reply begin(String body) {
        Service service = services.get(field(body, "service"));
        Worker worker = workers.get(String.valueOf(field(body, "worker_machine")));
        String nonce = field(body, "request_nonce");
        if (service == null || nonce == null || field(body, "worker_machine") == null) {
            return new Reply(400, "{}");
        }
        Runner known = byNonce.get(service.name() + " " + nonce);
        if (known == null) {
            if (worker == null || !worker.up || freeMemory(worker) < service.memoryMb()) {
                return new Reply(409, "{}");
            }
            number++;
            int place = new ArrayList<>(workers.keySet()).indexOf(worker.name) + 1;
            String host = "127." + (net + 1) + "." + place + "." + (number % 250 + 1);
            known = new Runner("i-" + number, service.name(), worker.zone, worker.name, host, service.slots());
            runners.put(known.id, known);
            byNonce.put(service.name() + " " + nonce, known);
            boot(known, service);
        }
        return new Reply(200, "{\"identifier\":\"" + known.id + "\",\"address\":\"" + known.address() + "\"}");
    }

    private void boot(Runner runner, Service service) {
        Threads.start(() -> {
            Threads.sleep(service.bootMillis());
            try {
                if (!runner.ended) {
                    runner.listen(work, record, segmentBytes, windowBytes);
                    runner.listedAt = System.nanoTime() + LAG_MILLIS * 1_000_000;
                }
            } catch (IOException e) {
                record.add("runner %s cannot listen: %s", runner.id, e);
            }
        });
    }

    private synchronized Reply stop(String body) throws IOException {
        Runner runner = runners.get(String.valueOf(field(body, "identifier")));
        if (runner == null) {
            return new Reply(404, "{}");
        }
        runner.stop();
        runner.unlistedAt = Math.min(runner.unlistedAt, System.nanoTime() + LAG_MILLIS * 1_000_000);
        Threads.start(() -> {
            Threads.sleep(500);
            runner.ended = true;
        });
        return new Reply(200, "{}");
    }

    private int freeMemory(Worker worker) {
        return worker.memoryMb
                - runners.values().stream()
                        .filter(runner -> runner.worker.equals(worker.name) && !runner.ended)
                        .mapToInt(runner -> services.get(runner.service).memoryMb())
                        .sum();
    }

    private synchronized String list() {
        long now = System.nanoTime();
        List<String> entries = new ArrayList<>();
        for (Runner runner : runners.values()) {
            if (now >= runner.listedAt && now < runner.unlistedAt) {
                entries.add("{\"identifier\":\"" + runner.id + "\",\"service\":\"" + runner.service
                        + "\",\"address\":\"" + runner.address() + "\",\"zone\":\"" + runner.zone
                        + "\",\"revision\":\"v1\",\"concurrency_slots\":" + runner.slots
                        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"worker_machine\":\"" + runner.worker + "\"}");
            }
        }
        return "{\"instances\":[" + String.join(",", entries) + "],\"next_page_token\":null}";
    }

    private synchronized String workerList() {
        List<String> entries = new ArrayList<>();
        for (Worker worker : workers.values()) {
            if (worker.up) {
                entries.add("{\"name\":\"" + worker.name + "\",\"zone\":\"" + worker.zone + "\",\"memory_mb\":"
                        + worker.memoryMb + ",\"free_memory_mb\":" + freeMemory(worker) + ",\"state\":\"ready\"}");
            }
        }
        return "{\"worker_machines\":[" + String.join(",", entries) + "]}";
    }

    /** Crashes a worker with its runners; it comes back empty. */
    synchronized void crashWorker(String name, long downMillis) throws IOException {
        record.add("worker %s crashes, for %d ms", name, downMillis);
        Worker worker = workers.get(name);
        worker.up = false;
        for (Runner runner : runners.values()) {
            if (runner.worker.equals(name) && !runner.ended) {
                record.add("runner %s ends with its worker", runner.id);
                runner.crash();
                runner.unlistedAt = System.nanoTime() + CRASHED_STAYS_LISTED_MILLIS * 1_000_000;
            }
        }
        Threads.start(() -> {
            Threads.sleep(downMillis);
            worker.up = true;
            record.add("worker %s is back", name);
        });
    }

    void close() {
        server.stop(0);
    }
}
