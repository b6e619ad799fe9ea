import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
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
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.heathercourse.testing.hosted.StoreStandIn;

/**
 * A small deployment on loopback addresses: the project's store stand-in in this process, engines and gateways as
 * processes of their own. Gateways are started with the command and the template of the deploy file.
 */
public final class Rig implements AutoCloseable {
    public static final String HOST = "app.example";
    public static final String KEY = "key-1";
    public final StoreStandIn store = new StoreStandIn();
    public final List<String> engineLines = new CopyOnWriteArrayList<>();
    private final List<Process> mProcesses = new CopyOnWriteArrayList<>();
    private final Path mFolder;
    private final PrintWriter mRecord;
    private final long mStart = System.currentTimeMillis();
    private long mVersion;

    /** Value of max_body_bytes in the next configuration. */
    public long maxBodyBytes = 4_194_304;

    /** Returns a loopback address of this run; gateways use fixed ports at addresses of their own. */
    public static String host(int n) {
        long pid = ProcessHandle.current().pid();
        return "127." + (60 + pid / 250 % 60) + "." + pid % 250 + "." + n;
    }

    /** One gateway. */
    public final class Gateway {
        public String node;
        public String host;
        public int callers;
        public int ready;
        public int directory;
        public int control;
        public Path settings;
        public Path log;
        public Process process;

        public void start() throws IOException {
            List<String> command = new ArrayList<>(Arrays.asList(runCommand().split(" +")));
            ProcessBuilder b = new ProcessBuilder(command).directory(new File(".")).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            Map<String, String> e = b.environment();
            e.keySet().removeIf(k -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(k));
            e.put("HEATHERCOURSE_BOOT", settings.toString());
            process = b.start();
            mProcesses.add(process);
            note("gateway " + node + " started, callers at " + host + ":" + callers);
        }

        /** Changes the stop grace in the settings file, as the platform does when its settings change, and sends SIGHUP. */
        public void changeGrace(int fromS, int toS) throws IOException, InterruptedException {
            String old = Files.readString(settings);
            String changed = old.replace("HEATHERCOURSE_STOP_GRACE_SECONDS=" + fromS, "HEATHERCOURSE_STOP_GRACE_SECONDS=" + toS);
            if (old.equals(changed)) {
                throw new IllegalStateException("the settings have no grace of " + fromS);
            }
            Path next = Files.writeString(mFolder.resolve(node + ".next"), changed);
            Files.move(next, settings, java.nio.file.StandardCopyOption.ATOMIC_MOVE, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
            note("settings file of " + node + " has grace_s " + toS + " now; SIGHUP sent");
        }

        public boolean isReady() {
            try (Socket s = connect(host, ready, 500)) {
                s.setSoTimeout(1000);
                s.getOutputStream().write(("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                String l = line(s.getInputStream());
                return l != null && l.contains(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        public void awaitReady() throws InterruptedException {
            for (int i = 0; i < 300; i++) {
                if (isReady()) {
                    return;
                }
                Thread.sleep(100);
            }
            throw new IllegalStateException("gateway " + node + " isn't ready");
        }

        public boolean log(String text) throws IOException {
            return Files.readString(log).contains(text);
        }
    }

    public Rig(String record) throws IOException {
        mFolder = Files.createTempDirectory("review-case");
        mRecord = new PrintWriter(Files.newBufferedWriter(Path.of(record)));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    public Path folder() {
        return mFolder;
    }

    public synchronized void note(String text) {
        mRecord.printf("%8.3f %s%n", (System.currentTimeMillis() - mStart) / 1e3, text);
        mRecord.flush();
    }

    private static String runCommand() throws IOException {
        boolean inRole = false;
        for (String l : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (l.startsWith("[")) {
                inRole = l.equals("[roles.gateway]");
            }
            if (inRole && l.startsWith("run = \"")) {
                return l.substring(7, l.length() - 1);
            }
        }
        throw new IllegalStateException("no command in the deploy file");
    }

    /** Writes a configuration with routes /stream/, /read/ and /order/. */
    public void configure(int streamAttempts, int ratePerSecond) {
        configure(streamAttempts, ratePerSecond, List.of());
    }

    /** As above, with further idempotent routes that have the given prefixes; the timeout of /notice/ is 1,200 ms. */
    public void configure(int streamAttempts, int ratePerSecond, List<String> prefixes) {
        configure(streamAttempts, ratePerSecond, prefixes, 2);
    }

    /** As above; readAttempts is the value of attempts of the route /read/. */
    public void configure(int streamAttempts, int ratePerSecond, List<String> prefixes, int readAttempts) {
        StringBuilder more = new StringBuilder();
        prefixes.forEach(x -> more.append(",{\"name\":\"r" + x.replace("/", "") + "\",\"host\":\"H\",\"prefix\":\"" + x
                + "\",\"type\":\"idempotent\",\"attempts\":2,\"timeout_ms\":" + (x.equals("/notice/") ? 1200 : 4000) + ",\"target_latency_ms\":120,\"priority\":2,\"service\":\"app\",\"public\":false}"));
        mVersion += 3;
        store.configure(("{\"version\":" + mVersion + ",\"routes\":["
                + "{\"name\":\"turns\",\"host\":\"H\",\"prefix\":\"/stream/\",\"type\":\"streaming\",\"resumable\":true,\"attempts\":" + streamAttempts
                + ",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":0,\"service\":\"models\",\"public\":false,\"target_gap_ms\":200},"
                + "{\"name\":\"reads\",\"host\":\"H\",\"prefix\":\"/read/\",\"type\":\"idempotent\",\"attempts\":" + readAttempts + ",\"timeout_ms\":4000,"
                + "\"target_latency_ms\":120,\"priority\":2,\"service\":\"app\",\"public\":false},"
                + "{\"name\":\"orders\",\"host\":\"H\",\"prefix\":\"/order/\",\"type\":\"non_idempotent\",\"attempts\":1,\"timeout_ms\":4000,"
                + "\"target_latency_ms\":250,\"priority\":2,\"service\":\"app\",\"public\":false}" + more + "],"
                + "\"services\":[{\"name\":\"models\",\"health_path\":\"/health\",\"connection_limit\":160,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":16,\"stride\":9}},{\"name\":\"app\",\"health_path\":\"/health\",\"connection_limit\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + maxBodyBytes + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"mill\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1,\"requests_per_s\":" + ratePerSecond + ",\"burst\":" + ratePerSecond + "}]}")
                .replace("\"H\"", "\"" + HOST + "\""));
        note("configuration " + mVersion + " acknowledged");
    }

    public Gateway gateway(String node, String host, int graceS) throws IOException {
        return gateway(node, host, graceS, store.port());
    }

    public Gateway gateway(String node, String host, int graceS, int storePort) throws IOException {
        Gateway g = new Gateway();
        g.node = node;
        g.host = host;
        int[] p = ports(host, 4);
        g.callers = p[0];
        g.ready = p[1];
        g.directory = p[2];
        g.control = p[3];
        String t = Files.readString(Path.of("deploy/gateway.env"))
                .replace("{{node}}", node).replace("{{zone}}", "zone-a")
                .replace("{{listen_addresses.frontend}}", host + ":" + g.callers)
                .replace("{{listen_addresses.ready}}", host + ":" + g.ready)
                .replace("{{listen_addresses.directory}}", host + ":" + g.directory)
                .replace("{{listen_addresses.control_plane}}", host + ":" + g.control)
                .replace("{{ip_address}}", host)
                .replace("{{platform.address}}", "127.0.0.1:" + storePort)
                .replace("{{bounds.revocation_ms}}", "5000").replace("{{bounds.grace_s}}", Integer.toString(graceS));
        if (t.contains("{{")) {
            throw new IllegalStateException("a placeholder of deploy/gateway.env isn't known here: " + t);
        }
        g.settings = Files.writeString(mFolder.resolve(node + ".env"), t);
        g.log = mFolder.resolve(node + ".log");
        g.start();
        return g;
    }

    /** Starts an engine process, without an entry in the store. */
    public Process engine(String host, int port, String id, String... options) throws IOException, InterruptedException {
        List<String> c = new ArrayList<>(List.of("java", "-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", "review/.classes", "Engine", host, Integer.toString(port), id));
        c.addAll(Arrays.asList(options));
        return engineProcess(id, c);
    }

    private Process engineProcess(String id, List<String> c) throws IOException, InterruptedException {
        Process p = new ProcessBuilder(c).redirectError(ProcessBuilder.Redirect.appendTo(mFolder.resolve(id + ".err").toFile())).start();
        mProcesses.add(p);
        java.util.concurrent.CountDownLatch up = new java.util.concurrent.CountDownLatch(1);
        Thread t = new Thread(() -> {
            try (BufferedReader r = new BufferedReader(new InputStreamReader(p.getInputStream()))) {
                for (String l = r.readLine(); l != null; l = r.readLine()) {
                    String rest = l.substring(l.indexOf(' ') + 1);
                    engineLines.add(rest);
                    note("engine " + rest);
                    up.countDown();
                }
            } catch (IOException e) {
                // the engine has ended
            }
            up.countDown();
        });
        t.setDaemon(true);
        t.start();
        up.await();
        return p;
    }

    /** Starts many plain engines in one process; see Farm. */
    public Process farm(String prefix, int count, int port) throws IOException, InterruptedException {
        return engineProcess("farm", List.of("java", "-Xmx256m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", "review/.classes",
                "Farm", prefix, Integer.toString(count), Integer.toString(port)));
    }

    public void register(String id, String service, String host, int port, String state, long born, int sequence) {
        registerQuietly(id, service, host, port, state, born, sequence);
        note("store has acknowledged entry of " + id + ": " + state);
    }

    public void registerQuietly(String id, String service, String host, int port, String state, long born, int sequence) {
        store.register(id, "{\"service\":\"" + service + "\",\"address\":\"" + host + ":" + port + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,\"state\":\""
                + state + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}");
    }

    public static int[] ports(String host, int n) throws IOException {
        List<ServerSocket> l = new ArrayList<>();
        int[] p = new int[n];
        for (int i = 0; i < n; i++) {
            ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(host));
            l.add(s);
            p[i] = s.getLocalPort();
        }
        for (ServerSocket s : l) {
            s.close();
        }
        return p;
    }

    public static Socket connect(String host, int port, int timeout) throws IOException {
        Socket s = new Socket();
        s.connect(new InetSocketAddress(host, port), timeout);
        s.setTcpNoDelay(true);
        return s;
    }

    public static String line(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                int n = b.length();
                return n > 0 && b.charAt(n - 1) == '\r' ? b.substring(0, n - 1) : b.toString();
            }
            b.append((char) c);
        }
        return null;
    }

    /** An answer as a client sees it; complete is whether the protocol says that the answer is whole. */
    public record Answer(int status, boolean signed, boolean complete, boolean closeAnnounced, String body, String error) { }

    public static byte[] head(String method, String path, String id, long deadline, long length, String more) {
        return (method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Heathercourse-Request-Id: " + id
                + "\r\nX-Heathercourse-Request-Deadline: " + deadline + "\r\nApi-Key: " + KEY + "\r\n" + more
                + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads one answer. */
    public static Answer read(InputStream in) {
        int status = 0;
        boolean signed = false;
        boolean close = false;
        StringBuilder body = new StringBuilder();
        try {
            String l = line(in);
            if (l == null) {
                return new Answer(0, false, false, false, "", "closed before an answer");
            }
            status = Integer.parseInt(l.split(" ")[1]);
            long length = -1;
            boolean chunked = false;
            for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                String lower = h.toLowerCase();
                signed |= lower.startsWith("x-heathercourse-response-signature:");
                chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
                close |= lower.startsWith("connection:") && lower.contains("close");
                if (lower.startsWith("content-length:")) {
                    length = Long.parseLong(lower.substring(15).trim());
                }
            }
            if (chunked) {
                while (true) {
                    String s = line(in);
                    if (s == null) {
                        return new Answer(status, signed, false, close, body.toString(), "closed within the body");
                    }
                    int n = Integer.parseInt(s.trim(), 16);
                    byte[] part = in.readNBytes(n);
                    body.append(new String(part, StandardCharsets.US_ASCII));
                    if (part.length < n || line(in) == null) {
                        return new Answer(status, signed, false, close, body.toString(), "closed within the body");
                    }
                    if (n == 0) {
                        return new Answer(status, signed, true, close, body.toString(), null);
                    }
                }
            }
            if (length >= 0) {
                byte[] part = in.readNBytes((int) length);
                body.append(new String(part, StandardCharsets.US_ASCII));
                return new Answer(status, signed, part.length == length, close, body.toString(), part.length == length ? null : "closed within the body");
            }
            body.append(new String(in.readAllBytes(), StandardCharsets.US_ASCII));
            return new Answer(status, signed, true, close, body.toString(), null);
        } catch (IOException | RuntimeException e) {
            return new Answer(status, signed, false, close, body.toString(), e.toString());
        }
    }

    private void killAll() {
        mProcesses.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() {
        killAll();
        store.close();
        mRecord.flush();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.list(mFolder)) {
                for (Path f : files.toList()) {
                    Files.deleteIfExists(f);
                }
                Files.deleteIfExists(mFolder);
            } catch (IOException e) {
                // the folder stays
            }
        }
    }
}
