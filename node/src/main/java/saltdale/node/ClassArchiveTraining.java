package saltdale.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A training run for a class-data archive, used only by the build. It runs one control node and one proxy in this
 * process, on loopback, together with a simulated platform and its instances, and sends some requests. A JVM that
 * writes a class-data archive on exit then archives all classes that both roles use; processes that map the archive
 * need less processor time to start.
 */
final class ClassArchiveTraining {
    private static final String CONTROL_HOST = "127.0.0.1";
    private static final String PROXY_HOST = "127.0.0.2";
    private static final String SERVICE = "trained";
    private static final int REQUESTS = 50;
    private static final Duration TIME_LIMIT = Duration.ofSeconds(20);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);
    private static final int TIMEOUT_MS = 3000;

    private final Path directory;
    private final int platformPort;
    private final int peerPort;
    private final int servicePort;
    private final int readinessPort;

    private ClassArchiveTraining(Path directory) throws IOException {
        this.directory = directory;
        platformPort = freePort();
        peerPort = freePort();
        servicePort = freePort();
        readinessPort = freePort();
    }

    /** Returns when all requests have been answered; throws if one is not answered within the time limit. */
    static void run() throws IOException, Settings.InvalidSettingsException {
        Path directory = Files.createTempDirectory("saltdale-training");
        try {
            new ClassArchiveTraining(directory).train();
        } finally {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(PROXY_HOST))) {
            return socket.getLocalPort();
        }
    }

    private void train() throws IOException, Settings.InvalidSettingsException {
        startPlatform();
        startProcess(new ControlProcess(
                settings("control", CONTROL_HOST, "\"control\":\"" + CONTROL_HOST + ":" + servicePort)));
        startProcess(new ProxyProcess(settings(
                "proxy",
                PROXY_HOST,
                "\"front\":\"" + PROXY_HOST + ":" + servicePort + "\",\"readiness\":\"" + PROXY_HOST + ":"
                        + readinessPort)));
        String configuration = "{\"revision\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"train.example\","
                + "\"path_prefix\":\"/a/\",\"kind\":\"idempotent\",\"timeout_ms\":5000,\"target_latency_ms\":1000,"
                + "\"priority\":1,\"service\":\"" + SERVICE + "\",\"max_attempts\":2}],\"services\":[{\"name\":\""
                + SERVICE + "\",\"health_path\":null,\"connection_limit\":20,\"protocol\":\"h1\",\"memory_mb\":64,"
                + "\"boot_ms\":100,\"max_concurrency\":4}]}";
        awaitOk(CONTROL_HOST, servicePort, request("POST", "/Configuration.Replace", "0", configuration));
        awaitOk(PROXY_HOST, readinessPort, request("GET", "/readiness", "0", ""));
        for (int i = 0; i < REQUESTS; i++) {
            awaitOk(PROXY_HOST, servicePort, request("GET", "/a/" + i, "0", ""));
        }
        String amendment = "{\"revision\":2,\"set_items\":{},\"remove_names\":{\"routes\":[\"r\"]}}";
        awaitOk(CONTROL_HOST, servicePort, request("POST", "/Configuration.Amend", "1", amendment));
        awaitOk(CONTROL_HOST, servicePort, request("GET", "/Configuration.Read", "0", ""));
    }

    private Settings settings(String role, String host, String listenAddresses)
            throws IOException, Settings.InvalidSettingsException {
        Path data = Files.createDirectory(directory.resolve(role));
        String text = "{\"node_name\":\"" + role + "\",\"ip_address\":\"" + host + "\",\"zone\":\"z\","
                + "\"listen_addresses\":{" + listenAddresses + "\"},\"internal_port_range\":[" + peerPort + ","
                + peerPort + "],\"seed_nodes\":[\"" + CONTROL_HOST + ":" + servicePort + "\"],\"first_start\":true,"
                + "\"heartbeat_interval_ms\":600,\"tolerated_losses\":{\"machines\":0},"
                + (role.equals("control") ? "\"data_directory\":\"" + data + "\"," : "")
                + "\"platform_api\":{\"address\":\"" + CONTROL_HOST + ":" + platformPort
                + "\",\"rate_per_s\":50,\"duties\":[\"starting\"],\"duty_per_s\":50}}";
        Path file = Files.writeString(directory.resolve(role + ".json"), text);
        return Settings.read(file.toString());
    }

    private static void startProcess(NodeProcess process) {
        runInBackground(() -> process.run());
    }

    // The client.

    private static String request(String method, String path, String baseVersion, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: train.example\r\nX-Saltdale-Attempt-Id: "
                + path.substring(1) + "\r\nX-Saltdale-Deadline-Remaining: 5000\r\nX-Saltdale-Based-On-Version: "
                + baseVersion + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\nConnection: close\r\n\r\n" + body;
    }

    private static void awaitOk(String host, int port, String request) throws IOException {
        long deadline = System.nanoTime() + TIME_LIMIT.toNanos();
        String response = "";
        while (System.nanoTime() < deadline) {
            response = exchange(host, port, request);
            if (response.startsWith("HTTP/1.1 200")) {
                return;
            }
            pause();
        }
        throw new IOException("training: " + request.lines().findFirst().orElse("")
                + " was not answered with 200 but with " + response);
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(RETRY_PAUSE.toMillis());
        } catch (InterruptedException e) {
            throw new IOException("training was interrupted", e);
        }
    }

    private static String exchange(String host, int port, String request) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return e.toString();
        }
    }

    // The simulated platform and its instances, all at one address.

    private void startPlatform() throws IOException {
        ServerSocket server = new ServerSocket(platformPort, 50, InetAddress.getByName(CONTROL_HOST));
        runInBackground(() -> {
            while (true) {
                Socket socket = server.accept();
                runInBackground(() -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            OutputStream out = socket.getOutputStream();
            for (String requestLine = in.readLine(); requestLine != null; requestLine = in.readLine()) {
                String id = "";
                int length = 0;
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    List<String> header = List.of(line.split(": ", 2));
                    id = header.get(0).equalsIgnoreCase("X-Saltdale-Attempt-Id") ? header.get(1) : id;
                    length =
                            header.get(0).equalsIgnoreCase("Content-Length") ? Integer.parseInt(header.get(1)) : length;
                }
                in.skip(length);
                String body = responseBody(requestLine.split(" ")[1]);
                String head = "HTTP/1.1 200 OK\r\nX-Saltdale-Attempt-Id: " + id
                        + "\r\nX-Saltdale-Runner-Seal: s\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n";
                out.write((head + body).getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private String responseBody(String path) {
        String address = CONTROL_HOST + ":" + platformPort;
        return switch (path.split("\\?")[0]) {
            case "/runners" -> "{\"instances\":[],\"next_page_token\":null}";
            case "/workers" ->
                "{\"worker_machines\":[{\"name\":\"w\",\"zone\":\"z\",\"memory_mb\":1024,"
                        + "\"free_memory_mb\":1024,\"state\":\"ready\"}]}";
            case "/begin" -> "{\"identifier\":\"i-1\",\"address\":\"" + address + "\"}";
            default -> "{}";
        };
    }

    /** A task of a background thread. */
    private interface IoTask {
        void run() throws IOException;
    }

    private static void runInBackground(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // a connection was closed, which is normal; the client repeats its request
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
