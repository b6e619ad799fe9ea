import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.heathercourse.testing.hosted.StoreStandIn;

/**
 * What the scripts of this review share: gateways as separate processes with the command and the
 * template of the deploy file, the project's own stand-in of the store, and small stand-ins of
 * engines and clients on loopback addresses.
 */
final class Kit implements Closeable {
    static final String HOST = "app.example";
    static final long START = System.nanoTime();

    final StoreStandIn store = new StoreStandIn();
    final List<Gateway> gateways = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    final Path folder;
    final Path temporary;
    private final PrintWriter record;
    private long version;

    Kit(Path folder) throws IOException {
        this.folder = folder;
        this.temporary = Files.createTempDirectory("review-2-");
        this.record =
                new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long nowMillis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void log(String text) {
        String line = String.format(Locale.ROOT, "%7d ms  %s", nowMillis(), text);
        record.println(line);
        System.out.println(line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // Configuration, as the operator writes it

    void configure(String routes, String services, String tenants) {
        configure(routes, services, tenants, 8_192, 1_048_576);
    }

    void configure(
            String routes, String services, String tenants, int maxHeader, int maxBody) {
        version += 3;
        store.configure(
                String.format(
                        Locale.ROOT,
                        "{\"version\":%d,\"routes\":[%s],\"services\":[%s],"
                                + "\"limits\":{\"max_header_bytes\":%d,\"max_body_bytes\":%d,"
                                + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":30000},"
                                + "\"tenants\":[%s]}",
                        version, routes, services, maxHeader, maxBody, tenants));
    }

    // Gateways

    final class Gateway {
        final String vm;
        final String zone;
        final String ip;
        final int callers;
        final int ready;
        final int directory;
        final int peers;
        Process process;
        private int starts;

        Gateway(String vm, String zone) throws IOException {
            this.vm = vm;
            this.zone = zone;
            int number = 1 + (int) (ProcessHandle.current().pid() % 250);
            this.ip = "127.77." + number + "." + (10 + gateways.size());
            int[] ports = freePorts(ip, 4);
            callers = ports[0];
            ready = ports[1];
            directory = ports[2];
            peers = ports[3];
            gateways.add(this);
        }

        void start() throws IOException {
            Path settings = temporary.resolve(vm + ".env");
            String text = Files.readString(Path.of("deploy/gateway.env"));
            Map<String, String> values =
                    Map.ofEntries(
                            Map.entry("node", vm),
                            Map.entry("zone", zone),
                            Map.entry("ip_address", ip),
                            Map.entry("listen_addresses.frontend", ip + ":" + callers),
                            Map.entry("listen_addresses.ready", ip + ":" + ready),
                            Map.entry("listen_addresses.directory", ip + ":" + directory),
                            Map.entry("listen_addresses.control_plane", ip + ":" + peers),
                            Map.entry("platform.address", "127.0.0.1:" + store.port()),
                            Map.entry("bounds.revocation_ms", "5000"),
                            Map.entry("bounds.grace_s", "8"),
                            Map.entry("limits.cpu_share", "0.75"),
                            Map.entry("limits.cpu_cores", "2"),
                            Map.entry("zones|json", "{\"zone-a\":\"region-1\",\"zone-b\":\"region-1\"}"));
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            Files.writeString(settings, text);
            List<String> command = new ArrayList<>();
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = \"")) {
                    String run = line.substring("run = \"".length(), line.lastIndexOf('"'));
                    command.addAll(List.of(run.split(" ")));
                }
            }
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().clear();
            for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (System.getenv(name) != null) {
                    builder.environment().put(name, System.getenv(name));
                }
            }
            builder.environment().put("HEATHERCOURSE_BOOT", settings.toString());
            File output = temporary.resolve(vm + "-" + ++starts + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(output);
            process = builder.start();
            log("start of gateway " + vm + " as process " + process.pid());
        }

        boolean isReady() {
            try (Client client = new Client(ip, ready, 1_000)) {
                client.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
                Answer answer = client.read();
                return answer != null && answer.status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws IOException {
            long end = nowMillis() + 30_000;
            while (!isReady()) {
                if (nowMillis() > end || !process.isAlive()) {
                    throw new IOException("gateway " + vm + " isn't ready");
                }
                sleep(100);
            }
            log("gateway " + vm + " is ready");
        }

        void signal(String name) throws IOException {
            log("signal " + name + " to gateway " + vm);
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        Client connect() throws IOException {
            return new Client(ip, callers, 8_000);
        }

        String lastLog() throws IOException {
            return Files.readString(temporary.resolve(vm + "-" + starts + ".log"));
        }
    }

    void startGateways(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            new Gateway("frontend-zone-a-" + (i + 1), "zone-a").start();
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
        }
    }

    static int[] freePorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    // Engines

    /** A request as it came in; headers by lower-case name. */
    record Request(
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long arrivedMillis,
            String engine) {
        String id() {
            return headers.getOrDefault("x-heathercourse-request-id", "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    interface Work {
        /** Runs a request and writes the answer; returns whether the connection stays open. */
        boolean run(Engine engine, Request request, OutputStream out, Socket socket)
                throws IOException;
    }

    /** A stand-in of an engine: a thread for each connection. */
    final class Engine {
        final String id;
        final String service;
        final Work work;
        final List<Request> runs = new CopyOnWriteArrayList<>();
        final List<Socket> open = new CopyOnWriteArrayList<>();
        final ServerSocket server;
        final long born = System.currentTimeMillis();
        volatile boolean ended;

        Engine(String id, String service, Work work) throws IOException {
            this.id = id;
            this.service = service;
            this.work = work;
            server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            engines.add(this);
            Thread thread = new Thread(this::accept);
            thread.setDaemon(true);
            thread.start();
            register("ready");
        }

        void register(String state) {
            store.register(
                    id,
                    String.format(
                            Locale.ROOT,
                            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\","
                                    + "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
                                    + "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%d}",
                            service, server.getLocalPort(), state, born));
        }

        /** Ends as a killed process does: the port closes, open connections are reset. */
        void crash() throws IOException {
            ended = true;
            server.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            log("engine " + id + " crashes");
        }

        private void accept() {
            while (!ended) {
                try {
                    Socket socket = server.accept();
                    open.add(socket);
                    Thread thread = new Thread(() -> serve(socket), id);
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Map<String, String> headers = new TreeMap<>();
                    String first = readHead(in, headers);
                    if (first == null) {
                        return;
                    }
                    String[] words = first.split(" ");
                    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                    byte[] body = in.readNBytes(length);
                    Request request =
                            new Request(words[0], words[1], headers, body, nowMillis(), id);
                    String expected = headers.get("x-heathercourse-expected-instance");
                    if (expected != null && !expected.equals(id)) {
                        write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Heathercourse-Request-Id: "
                                + request.id() + "\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    }
                    if (!work.run(this, request, out, socket)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The connection has ended.
            } finally {
                open.remove(socket);
            }
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static String signature(Engine engine, Request request) {
        return "X-Heathercourse-Request-Id: " + request.id() + "\r\n"
                + "X-Heathercourse-Response-Signature: " + engine.id + "." + request.id() + "\r\n";
    }

    /** Answers with a whole body of declared length. */
    static void answer(Engine engine, Request request, OutputStream out, String body)
            throws IOException {
        write(
                out,
                "HTTP/1.1 200 OK\r\n" + signature(engine, request) + "Content-Length: "
                        + body.length() + "\r\n\r\n" + body);
    }

    static void beginStream(Engine engine, Request request, OutputStream out) throws IOException {
        write(
                out,
                "HTTP/1.1 200 OK\r\n" + signature(engine, request)
                        + "Content-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
    }

    static void chunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    static void endChunks(OutputStream out) throws IOException {
        write(out, "0\r\n\r\n");
    }

    // Clients

    /** An answer as far as it came. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];
        boolean complete;

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        boolean hasSignature() {
            return headers.containsKey("x-heathercourse-response-signature");
        }
    }

    /** A connection of a client. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(String ip, int port, int timeoutMillis) throws IOException {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            write(out, text);
        }

        Answer read() throws IOException {
            return read(Integer.MAX_VALUE);
        }

        /** Reads an answer, or a stream up to a number of events; null if there is none. */
        Answer read(int maxEvents) throws IOException {
            Answer answer = new Answer();
            String first;
            do {
                answer.headers.clear();
                first = readHead(in, answer.headers);
                if (first == null) {
                    return null;
                }
                answer.status = Integer.parseInt(first.split(" ")[1]);
            } while (answer.status == 100);
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                if ("chunked".equals(answer.header("Transfer-Encoding"))) {
                    while (true) {
                        String line = readLine(in);
                        if (line == null) {
                            break;
                        }
                        int length = Integer.parseInt(line.trim(), 16);
                        if (length == 0) {
                            answer.complete = readLine(in) != null;
                            break;
                        }
                        byte[] part = in.readNBytes(length);
                        body.write(part);
                        if (part.length < length || readLine(in) == null) {
                            break;
                        }
                        if (body.toString(StandardCharsets.ISO_8859_1).split("\n\n", -1).length - 1
                                >= maxEvents) {
                            break;
                        }
                    }
                } else if (answer.header("Content-Length") != null) {
                    int length = Integer.parseInt(answer.header("Content-Length"));
                    byte[] bytes = in.readNBytes(length);
                    body.write(bytes);
                    answer.complete = bytes.length == length;
                } else {
                    body.write(in.readAllBytes());
                    answer.complete = true;
                }
            } catch (IOException e) {
                answer.complete = false;
            }
            answer.body = body.toByteArray();
            return answer;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    static String head(
            String method, String path, String id, String key, int bodyBytes, String... more) {
        StringBuilder head = new StringBuilder();
        head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(HOST);
        head.append("\r\nX-Heathercourse-Request-Id: ").append(id);
        head.append("\r\nApi-Key: ").append(key);
        if (bodyBytes >= 0) {
            head.append("\r\nContent-Length: ").append(bodyBytes);
        }
        for (String header : more) {
            head.append("\r\n").append(header);
        }
        return head.append("\r\n\r\n").toString();
    }

    /** Reads the lines of a head; returns the first one, or null at the end of the input. */
    static String readHead(InputStream in, Map<String, String> headers) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return first;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        while (b >= 0 && b != '\n') {
            if (b != '\r') {
                line.write(b);
            }
            b = in.read();
        }
        return b < 0 && line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
    }

    // End

    private void killAll() {
        for (Gateway gateway : gateways) {
            if (gateway.process != null) {
                gateway.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() {
        killAll();
        for (Gateway gateway : gateways) {
            try {
                gateway.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        if (System.getenv("KEEP") == null) {
            File[] files = temporary.toFile().listFiles();
            for (File file : files == null ? new File[0] : files) {
                file.delete();
            }
            temporary.toFile().delete();
        } else {
            System.out.println("logs in " + temporary);
        }
        record.flush();
    }

    interface Case {
        /** Returns whether the rule held. */
        boolean play(Kit kit) throws Exception;
    }

    /** Plays a case and ends the process with its exit code. */
    static void main(String[] arguments, Case played) {
        int code = 2;
        java.util.logging.LogManager.getLogManager().reset();
        try (Kit kit = new Kit(Path.of(arguments[0]))) {
            kit.log("TROUBLE=" + (trouble() ? 1 : 0));
            boolean held = played.play(kit);
            kit.log(held ? "the rule held" : "THE RULE IS BROKEN");
            code = held ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }
}
