import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A slow client reads an answer that ends with its connection. The engine is killed in the middle
 * of that answer and is back before the gateway has read what the engine had sent.
 *
 * <p>With VARIANT=frozen the client is not slow and the answer has 4,800 bytes, but the gateway
 * stands still while the engine restarts.
 */
final class RestartedEngine {
    /** One of seven is below the share of servers that crash, 0.15. */
    private static final int ENGINES = 7;

    private static final boolean FROZEN = "frozen".equals(System.getenv("VARIANT"));
    private static final int ANSWER_BYTES = FROZEN ? 4_800 : 6 * 1024 * 1024;
    private static final int SENT_BYTES = FROZEN ? 2_400 : 4 * 1024 * 1024;

    /** With the start of the new process, the engine is away for about 1.4 s. */
    private static final long DOWN_MILLIS = 1_200;

    private static final long DEADLINE_MILLIS = 4_000;

    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r-read\",\"host\":\"app.example\","
                    + "\"prefix\":\"/read/\",\"type\":\"idempotent\",\"timeout_ms\":4000,"
                    + "\"target_latency_ms\":300,\"priority\":2,\"service\":\"office\","
                    + "\"attempts\":2,\"retains_history\":false,\"retention_s\":60.0,"
                    + "\"public\":false,\"session_affinity\":false,\"resumable\":false}],"
                    + "\"services\":[{\"name\":\"office\",\"health_path\":\"/health\","
                    + "\"connection_limit\":96,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                    + "\"tenants\":[{\"name\":\"mill\",\"api_keys\":[\"key-1\"],\"priority\":1,"
                    + "\"requests_per_s\":190,\"burst\":190}]}";

    private final Lab mLab;
    private final Map<String, Process> mProcesses = new ConcurrentHashMap<>();
    private final Map<String, Integer> mPorts = new ConcurrentHashMap<>();

    /** The engine that has sent a part of the answer. */
    private final CompletableFuture<String> mPaused = new CompletableFuture<>();

    private RestartedEngine(Lab lab) {
        mLab = lab;
    }

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Lab lab = new Lab()) {
            RestartedEngine test = new RestartedEngine(lab);
            try {
                exit = test.run();
            } finally {
                List.copyOf(test.mProcesses.keySet()).forEach(test::kill);
            }
            lab.record("exit " + exit);
        } catch (IOException | RuntimeException | TimeoutException e) {
            e.printStackTrace();
        }
        Lab.end(exit);
    }

    private int run() throws Exception {
        mLab.store.configure(CONFIGURATION);
        for (int i = 1; i <= ENGINES; i++) {
            startEngine("i-tiles-" + i, mLab.trouble ? SENT_BYTES : ANSWER_BYTES);
        }
        Lab.Gateway gateway = mLab.addGateway("frontend-a-1");
        if (!gateway.awaitReady(20_000)) {
            mLab.record("the gateway is not ready");
            return 2;
        }
        Thread.sleep(2_000);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16 * 1024);
            socket.connect(new InetSocketAddress(gateway.host, gateway.callers), 1_000);
            socket.setSoTimeout((int) DEADLINE_MILLIS + 2_000);
            mLab.record("client sends id=q1 GET /read/tile and reads nothing for a while");
            socket.getOutputStream()
                    .write(
                            Lab.ascii(
                                    Lab.head(
                                                    "GET",
                                                    "/read/tile",
                                                    "q1",
                                                    DEADLINE_MILLIS,
                                                    "Api-Key: key-1\r\n")
                                            + "\r\n"));
            if (mLab.trouble) {
                String engine = mPaused.get(2_000, TimeUnit.MILLISECONDS);
                if (FROZEN) {
                    gateway.signal("STOP");
                }
                kill(engine);
                Thread.sleep(DOWN_MILLIS);
                startEngine(engine, ANSWER_BYTES);
            } else {
                Thread.sleep(DOWN_MILLIS);
            }
            Thread.sleep(300);
            if (FROZEN && mLab.trouble) {
                gateway.signal("CONT");
            }
            mLab.record("client reads on");
            return judge(socket);
        }
    }

    private int judge(Socket socket) throws IOException {
        Lab.Response response;
        try {
            response = Lab.Response.read(new BufferedInputStream(socket.getInputStream()), "GET");
        } catch (IOException e) {
            mLab.record("client gets no answer: " + e);
            return mLab.trouble ? 0 : 2;
        }
        mLab.record(
                "client gets id=q1 status="
                        + response.status
                        + " signature="
                        + response.header("X-Heathercourse-Response-Signature")
                        + " bytes="
                        + response.body.length
                        + " of "
                        + ANSWER_BYTES
                        + " looks complete="
                        + response.complete);
        boolean isWhole = response.body.length == ANSWER_BYTES;
        if (response.status == 200 && response.complete && !isWhole) {
            mLab.record("MIXED broken: a success whose body is not the engine's whole body");
            return 1;
        }
        return mLab.trouble || isWhole && response.complete ? 0 : 2;
    }

    // Engine

    private void startEngine(String id, int pauseAt) throws IOException {
        Process process =
                new ProcessBuilder(
                                List.of(
                                        "java",
                                        "-Xmx64m",
                                        "-XX:TieredStopAtLevel=1",
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        "EngineProcess",
                                        id,
                                        Integer.toString(mPorts.getOrDefault(id, 0)),
                                        Integer.toString(ANSWER_BYTES),
                                        Integer.toString(pauseAt)))
                        .redirectErrorStream(true)
                        .start();
        mProcesses.put(id, process);
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream()));
        String first = lines.readLine();
        if (first == null || !first.startsWith("listening ")) {
            throw new IOException("the engine does not start: " + first);
        }
        int port = Integer.parseInt(first.substring("listening ".length()));
        mPorts.put(id, port);
        mLab.record("engine " + id + " started pid=" + process.pid() + " port=" + port);
        Thread reader =
                new Thread(
                        () ->
                                lines.lines()
                                        .forEach(
                                                line -> {
                                                    mLab.record("engine " + id + " " + line);
                                                    if (line.startsWith("paused")) {
                                                        mPaused.complete(id);
                                                    }
                                                }));
        reader.setDaemon(true);
        reader.start();
        mLab.record("row " + id + " ready");
        mLab.store.register(
                id,
                "{\"service\":\"office\",\"address\":\"127.0.0.1:"
                        + port
                        + "\",\"zone\":\"zone-a\",\"version\":\"1\",\"slots\":6,"
                        + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":"
                        + System.currentTimeMillis()
                        + "}");
    }

    private void kill(String id) {
        Process process = mProcesses.get(id);
        if (process != null && process.isAlive()) {
            mLab.record("SIGKILL to engine " + id + " pid=" + process.pid());
            process.destroyForcibly();
        }
    }
}
