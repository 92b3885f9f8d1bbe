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
 * Runs one control node and one proxy in this process, on loopback, beside a stand-in of the platform and its
 * instances, and carries some requests. A JVM told to write a class-data archive at its end so writes one of all
 * classes that both roles use, and processes that map it start in less processor time. Used while building only.
 */
final class ClassArchiveTraining {
    private static final String CONTROL_HOST = "127.0.0.1";
    private static final String PROXY_HOST = "127.0.0.2";
    private static final String SERVICE = "trained";
    private static final int REQUESTS = 50;
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final Duration PAUSE = Duration.ofMillis(50);
    private static final int READ_TIMEOUT_MS = 3000;

    private final Path folder;
    private final int platformPort;
    private final int peerPort;
    private final int servicePort;
    private final int readinessPort;

    private ClassArchiveTraining(Path folder) throws IOException {
        this.folder = folder;
        platformPort = freePort();
        peerPort = freePort();
        servicePort = freePort();
        readinessPort = freePort();
    }

    /** Returns once all requests were answered; throws if they were not within the limit. */
    static void run() throws IOException, Settings.Wrong {
        Path folder = Files.createTempDirectory("saltdale-training");
        try {
            new ClassArchiveTraining(folder).train();
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(each);
                }
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getByName(PROXY_HOST))) {
            return any.getLocalPort();
        }
    }

    private void train() throws IOException, Settings.Wrong {
        standIn();
        begin(new ControlProcess(
                settings("control", CONTROL_HOST, "\"control\":\"" + CONTROL_HOST + ":" + servicePort)));
        begin(new ProxyProcess(settings(
                "proxy",
                PROXY_HOST,
                "\"front\":\"" + PROXY_HOST + ":" + servicePort + "\",\"readiness\":\"" + PROXY_HOST + ":"
                        + readinessPort)));
        String configuration = "{\"revision\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"train.example\","
                + "\"path_prefix\":\"/a/\",\"kind\":\"idempotent\",\"timeout_ms\":5000,\"target_latency_ms\":1000,"
                + "\"priority\":1,\"service\":\"" + SERVICE + "\",\"max_attempts\":2}],\"services\":[{\"name\":\""
                + SERVICE + "\",\"health_path\":null,\"connection_limit\":20,\"protocol\":\"h1\",\"memory_mb\":64,"
                + "\"boot_ms\":100,\"max_concurrency\":4}]}";
        until200(CONTROL_HOST, servicePort, request("POST", "/Configuration.Replace", "0", configuration));
        until200(PROXY_HOST, readinessPort, request("GET", "/readiness", "0", ""));
        for (int i = 0; i < REQUESTS; i++) {
            until200(PROXY_HOST, servicePort, request("GET", "/a/" + i, "0", ""));
        }
        String amendment = "{\"revision\":2,\"set_items\":{},\"remove_names\":{\"routes\":[\"r\"]}}";
        until200(CONTROL_HOST, servicePort, request("POST", "/Configuration.Amend", "1", amendment));
        until200(CONTROL_HOST, servicePort, request("GET", "/Configuration.Read", "0", ""));
    }

    private Settings settings(String role, String host, String listenAddresses) throws IOException, Settings.Wrong {
        Path data = Files.createDirectory(folder.resolve(role));
        String text = "{\"node_name\":\"" + role + "\",\"ip_address\":\"" + host + "\",\"zone\":\"z\","
                + "\"listen_addresses\":{" + listenAddresses + "\"},\"internal_port_range\":[" + peerPort + ","
                + peerPort + "],\"seed_nodes\":[\"" + CONTROL_HOST + ":" + servicePort + "\"],\"first_start\":true,"
                + "\"heartbeat_interval_ms\":600,\"tolerated_losses\":{\"machines\":0},"
                + (role.equals("control") ? "\"data_directory\":\"" + data + "\"," : "")
                + "\"platform_api\":{\"address\":\"" + CONTROL_HOST + ":" + platformPort
                + "\",\"rate_per_s\":50,\"duties\":[\"starting\"],\"duty_per_s\":50}}";
        Path file = Files.writeString(folder.resolve(role + ".json"), text);
        return Settings.read(file.toString());
    }

    private static void begin(NodeProcess process) {
        inBackground(() -> process.run());
    }

    // The client.

    private static String request(String method, String path, String basedOn, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: train.example\r\nX-Saltdale-Attempt-Id: "
                + path.substring(1) + "\r\nX-Saltdale-Deadline-Remaining: 5000\r\nX-Saltdale-Based-On-Version: "
                + basedOn + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\nConnection: close\r\n\r\n" + body;
    }

    private static void until200(String host, int port, String request) throws IOException {
        long end = System.nanoTime() + LIMIT.toNanos();
        String answer = "";
        while (System.nanoTime() < end) {
            answer = ask(host, port, request);
            if (answer.startsWith("HTTP/1.1 200")) {
                return;
            }
            pause();
        }
        throw new IOException("training: " + request.lines().findFirst().orElse("") + " got no 200, but " + answer);
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(PAUSE.toMillis());
        } catch (InterruptedException e) {
            throw new IOException("training was interrupted", e);
        }
    }

    private static String ask(String host, int port, String request) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), READ_TIMEOUT_MS);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return e.toString();
        }
    }

    // The platform and its instances, all at one address.

    private void standIn() throws IOException {
        ServerSocket server = new ServerSocket(platformPort, 50, InetAddress.getByName(CONTROL_HOST));
        inBackground(() -> {
            while (true) {
                Socket socket = server.accept();
                inBackground(() -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            OutputStream out = socket.getOutputStream();
            for (String first = in.readLine(); first != null; first = in.readLine()) {
                String id = "";
                int length = 0;
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    List<String> header = List.of(line.split(": ", 2));
                    id = header.get(0).equalsIgnoreCase("X-Saltdale-Attempt-Id") ? header.get(1) : id;
                    length =
                            header.get(0).equalsIgnoreCase("Content-Length") ? Integer.parseInt(header.get(1)) : length;
                }
                in.skip(length);
                String body = answer(first.split(" ")[1]);
                String head = "HTTP/1.1 200 OK\r\nX-Saltdale-Attempt-Id: " + id
                        + "\r\nX-Saltdale-Runner-Seal: s\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n";
                out.write((head + body).getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private String answer(String path) {
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

    private interface Work {
        void run() throws IOException;
    }

    private static void inBackground(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // a connection has ended, as they do; what was to come over it is asked for again
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
