import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.heathercourse.testing.hosted.StoreStandIn;

/**
 * A small deployment on loopback addresses: the project's own stand-in of the store, gateways as
 * processes with the command and the settings template of the deploy folder, and plain HTTP/1.1
 * servers and clients. Writes what was sent, answered and run to record.txt.
 */
final class Lab implements AutoCloseable {
    static final String HOST = "app.example";
    static final String KEY = "key-1";
    private static final int BROKEN = 10;
    private static final String CRLF = "\r\n";
    private static final Logger LIBRARY_LOG = Logger.getLogger("io.netty");

    final StoreStandIn store = new StoreStandIn();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Gateway> gateways = new ArrayList<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final Path mFolder = Path.of(System.getProperty("case"));
    private final Path mTemp;
    private final PrintWriter mRecord;
    private final long mStartNanos = System.nanoTime();

    Lab() throws IOException {
        // The stand-in of the store reports each connection that a killed gateway resets.
        LIBRARY_LOG.setLevel(Level.SEVERE);
        mTemp = Files.createTempDirectory("review-3-");
        mRecord = new PrintWriter(Files.newBufferedWriter(mFolder.resolve("record.txt")), true);
        record("begin trouble=" + trouble);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Writes a line with the time since the start in milliseconds. */
    synchronized void record(String line) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
        mRecord.printf(Locale.ROOT, "%7d %s%n", millis, line);
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
    }

    /**
     * Ends the process. A Java process that fails by itself exits with 1, so that a broken rule has
     * a code of its own.
     *
     * @param exit 0: the rule held; 1: it was broken; 2: the case could not run
     */
    static void end(int exit) {
        System.exit(exit == 1 ? BROKEN : exit);
    }

    // Gateways

    /** A gateway process. */
    final class Gateway {
        final String name;
        final String host;
        final int callers;
        final int ready;
        private final Map<String, String> mValues = new LinkedHashMap<>();
        private final Path mLog;
        Process process;

        private Gateway(String name, String host, String storeAddress) throws IOException {
            this.name = name;
            this.host = host;
            int[] ports = freePorts(host, 5);
            callers = ports[0];
            ready = ports[1];
            mLog = mTemp.resolve(name + ".log");
            mValues.put("{{node}}", name);
            mValues.put("{{zone}}", "zone-a");
            mValues.put("{{listen_addresses.frontend}}", host + ":" + ports[0]);
            mValues.put("{{listen_addresses.ready}}", host + ":" + ports[1]);
            mValues.put("{{listen_addresses.directory}}", host + ":" + ports[2]);
            mValues.put("{{listen_addresses.control_plane}}", host + ":" + ports[3]);
            mValues.put("{{ip_address}}:7790", host + ":" + ports[4]);
            mValues.put("{{platform.address}}", storeAddress);
            mValues.put("{{bounds.revocation_ms}}", "5000");
            mValues.put("{{bounds.grace_s}}", "8");
            mValues.put("{{limits.cpu_share}}", "0.75");
            mValues.put("{{limits.cpu_cores}}", "2");
            mValues.put("{{zones|json}}", "{\"zone-a\":\"region-a\"}");
        }

        void start() throws IOException {
            String settings = Files.readString(Path.of("deploy/gateway.env"));
            for (Map.Entry<String, String> value : mValues.entrySet()) {
                settings = settings.replace(value.getKey(), value.getValue());
            }
            Path file = mTemp.resolve(name + ".env");
            Files.writeString(file, settings);
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().keySet().removeIf(k -> k.startsWith("HEATHERCOURSE"));
            builder.environment().put("HEATHERCOURSE_BOOT", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            process = builder.start();
            record("gateway " + name + " started pid=" + process.pid());
        }

        boolean awaitReady(long maxMillis) throws InterruptedException {
            long end = millis() + maxMillis;
            while (millis() < end && process.isAlive()) {
                try (Socket socket = connect(host, ready, 500)) {
                    socket.getOutputStream()
                            .write(ascii("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"));
                    if (Response.read(new BufferedInputStream(socket.getInputStream()), "GET")
                                    .status
                            == 200) {
                        return true;
                    }
                } catch (IOException e) {
                    // Not open yet.
                }
                Thread.sleep(100);
            }
            return false;
        }

        void signal(String signal) throws IOException, InterruptedException {
            record("signal " + signal + " to " + name);
            new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        String log() throws IOException {
            return Files.exists(mLog) ? Files.readString(mLog) : "";
        }
    }

    /** Returns the command of the gateway role in the deploy file, with paths of this checkout. */
    private static List<String> command() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"([^\"]+)\"")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        return List.of(run.group(1).split(" "));
    }

    Gateway addGateway(String name) throws IOException {
        return addGateway(name, "127.0.0.1:" + store.port());
    }

    Gateway addGateway(String name, String storeAddress) throws IOException {
        Gateway gateway = new Gateway(name, "127.0.0." + (2 + gateways.size()), storeAddress);
        gateways.add(gateway);
        gateway.start();
        return gateway;
    }

    private static int[] freePorts(String host, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    // Engines

    /** One request that an engine or a proxy has read. */
    static final class Request {
        String method;
        String uri;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String id() {
            return header("X-Heathercourse-Request-Id");
        }

        static Request read(InputStream in) throws IOException {
            String line = readLine(in);
            if (line == null) {
                return null;
            }
            Request request = new Request();
            String[] parts = line.split(" ");
            request.method = parts[0];
            request.uri = parts[1];
            readHeaders(in, request.headers);
            String length = request.header("Content-Length");
            if (length != null) {
                request.body = readBytes(in, Integer.parseInt(length.trim()));
            }
            return request;
        }
    }

    /** Answers a request that an engine runs. */
    interface Work {
        void run(Engine engine, Request request, Socket socket) throws Exception;
    }

    /** An engine: one thread for each connection, one request at a time on it. */
    final class Engine {
        final String id;
        final String service;
        final long born = System.currentTimeMillis();
        final ServerSocket server;
        private final Work mWork;
        private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

        private Engine(String id, String service, Work work) throws IOException {
            this.id = id;
            this.service = service;
            mWork = work;
            server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            Thread acceptor = new Thread(this::accept, id);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        String row(String state) {
            return String.format(
                    Locale.ROOT,
                    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"1\","
                            + "\"slots\":16,\"state\":\"%s\",\"cold_remaining_ms\":0,"
                            + "\"sequence\":1,\"born\":%d}",
                    service,
                    address(),
                    state,
                    born);
        }

        void register(String state) {
            record("row " + id + " " + state);
            store.register(id, row(state));
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Thread thread = new Thread(() -> serve(socket), id + "-connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        /** Ends as a process does: closes its port and all connections, and does not come back. */
        void crash() throws IOException {
            record("engine " + id + " crashes");
            server.close();
            for (Socket socket : mSockets) {
                socket.close();
            }
        }

        private void serve(Socket socket) {
            mSockets.add(socket);
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Request request = Request.read(in);
                        request != null;
                        request = Request.read(in)) {
                    String expected = request.header("X-Heathercourse-Expected-Instance");
                    if (expected != null && !expected.equals(id)) {
                        record("engine " + id + " rejects id=" + request.id() + " 421");
                        answer(socket, 421, request.id(), "X-Heathercourse-Not-Executed: 1\r\n", "");
                        continue;
                    }
                    record(
                            "engine "
                                    + id
                                    + " ("
                                    + service
                                    + ") runs id="
                                    + request.id()
                                    + " "
                                    + request.method
                                    + " "
                                    + request.uri
                                    + " tenant="
                                    + request.header("X-Heathercourse-Tenant")
                                    + " bytes="
                                    + request.body.length);
                    mWork.run(this, request, socket);
                }
            } catch (IOException e) {
                // One side has closed the connection.
            } catch (Exception e) {
                record("engine " + id + " fails: " + e);
            }
        }
    }

    Engine addEngine(String id, String service, Work work) throws IOException {
        Engine engine = new Engine(id, service, work);
        mEngines.add(engine);
        return engine;
    }

    /** Writes a whole answer of an engine. */
    static void answer(Socket socket, int status, String requestId, String headers, String body)
            throws IOException {
        String text =
                "HTTP/1.1 "
                        + status
                        + " Answer\r\n"
                        + (requestId == null
                                ? ""
                                : "X-Heathercourse-Request-Id: " + requestId + CRLF)
                        + "X-Heathercourse-Response-Signature: 3e1b.07."
                        + requestId
                        + CRLF
                        + headers
                        + "Content-Length: "
                        + body.length()
                        + CRLF
                        + CRLF
                        + body;
        OutputStream out = socket.getOutputStream();
        out.write(ascii(text));
        out.flush();
    }

    // Clients

    /** An answer that a client has read. */
    static final class Response {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        static Response read(InputStream in, String method) throws IOException {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the connection ended before an answer");
            }
            Response response = new Response();
            response.status = Integer.parseInt(line.split(" ")[1]);
            readHeaders(in, response.headers);
            String length = response.header("Content-Length");
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                if ("HEAD".equals(method)) {
                    response.complete = true;
                } else if (length != null) {
                    body.writeBytes(readBytes(in, Integer.parseInt(length.trim())));
                    response.complete = true;
                } else if ("chunked".equals(response.header("Transfer-Encoding"))) {
                    int size;
                    do {
                        size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                        body.writeBytes(readBytes(in, size));
                        readLine(in);
                    } while (size > 0);
                    response.complete = true;
                }
            } catch (IOException | RuntimeException e) {
                response.complete = false;
            }
            response.body = body.toByteArray();
            return response;
        }
    }

    static String head(String method, String path, String id, long deadlineMillis, String headers) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: "
                + HOST
                + "\r\nX-Heathercourse-Request-Id: "
                + id
                + "\r\nX-Heathercourse-Request-Deadline: "
                + deadlineMillis
                + CRLF
                + headers;
    }

    /** Sends one request on a new connection and reads its answer; null if there is none. */
    Response send(
            Gateway gateway,
            String method,
            String path,
            String id,
            long deadlineMillis,
            String headers,
            String body) {
        record("client sends id=" + id + " " + method + " " + path + " to " + gateway.name);
        try (Socket socket = connect(gateway.host, gateway.callers, 1_000)) {
            socket.setSoTimeout((int) deadlineMillis + 1_500);
            String length = body == null ? "" : "Content-Length: " + body.length() + CRLF;
            socket.getOutputStream()
                    .write(
                            ascii(
                                    head(method, path, id, deadlineMillis, headers + length)
                                            + CRLF
                                            + (body == null ? "" : body)));
            Response response =
                    Response.read(new BufferedInputStream(socket.getInputStream()), method);
            record(
                    "client gets id="
                            + id
                            + " status="
                            + response.status
                            + " complete="
                            + response.complete
                            + " bytes="
                            + response.body.length);
            return response;
        } catch (IOException e) {
            record("client gets id=" + id + " no answer: " + e);
            return null;
        }
    }

    // Bytes

    static Socket connect(String host, int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a line without its end; null at the end of the input. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        while (b >= 0 && b != '\n') {
            if (b != '\r') {
                line.write(b);
            }
            b = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] readBytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended after " + bytes.length + " bytes");
        }
        return bytes;
    }

    private static void readHeaders(InputStream in, Map<String, String> headers)
            throws IOException {
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
        }
    }

    // End

    private void killAll() {
        for (Gateway gateway : gateways) {
            if (gateway.process != null) {
                gateway.process.destroyForcibly();
            }
        }
    }

    /** Ends all processes and removes the temporary folder. */
    @Override
    public void close() {
        killAll();
        record("end");
        mRecord.close();
        if (System.getenv("KEEP_LOGS") == null) {
            for (java.io.File file : mTemp.toFile().listFiles()) {
                file.delete();
            }
            mTemp.toFile().delete();
        } else {
            System.err.println("logs in " + mTemp);
        }
    }
}
