import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Three of twenty engines crash one after the other while they run a turn of one program, which
 * its client sends again twice. Later, turns of other programs of the tenant have the same new
 * input, with other histories.
 */
final class SameInput {
    private static final int ENGINES = 20;
    private static final int CRASHES = 3;
    private static final int OTHER_PROGRAMS = 4;
    private static final int TRIES = 6;
    private static final int NEW_PROGRAMS = 20;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final String INPUT = "go on";

    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r-chat\",\"host\":\"app.example\","
                    + "\"prefix\":\"/chat/\",\"type\":\"streaming\",\"timeout_ms\":3000,"
                    + "\"target_latency_ms\":250,\"priority\":0,\"service\":\"assist-llm\","
                    + "\"attempts\":2,\"retains_history\":true,\"retention_s\":60.0,"
                    + "\"public\":false,\"session_affinity\":true,\"resumable\":false,"
                    + "\"target_gap_ms\":200}],"
                    + "\"services\":[{\"name\":\"assist-llm\",\"health_path\":\"/health\","
                    + "\"connection_limit\":420,\"protocol\":\"h1\",\"tls\":false,"
                    + "\"engine\":{\"slots\":6,\"stride\":22}}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                    + "\"tenants\":[{\"name\":\"market\",\"api_keys\":[\"key-1\"],\"priority\":1,"
                    + "\"requests_per_s\":190,\"burst\":190}]}";

    private final Lab mLab;
    private final List<Lab.Engine> mEngines = new ArrayList<>();
    private final BlockingQueue<Lab.Engine> mHeld = new LinkedBlockingQueue<>();
    private final ConcurrentHashMap<String, Boolean> mRan = new ConcurrentHashMap<>();
    private int mSent;

    private SameInput(Lab lab) {
        mLab = lab;
    }

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Lab lab = new Lab()) {
            exit = new SameInput(lab).run();
            lab.record("exit " + exit);
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        Lab.end(exit);
    }

    private int run() throws Exception {
        for (int i = 1; i <= ENGINES; i++) {
            mEngines.add(mLab.addEngine("i-llm-" + i, "assist-llm", this::work));
        }
        mEngines.forEach(engine -> engine.register("ready"));
        mLab.store.configure(CONFIGURATION);
        mLab.addGateway("frontend-a-1");
        mLab.addGateway("frontend-a-2");
        for (Lab.Gateway gateway : mLab.gateways) {
            if (!gateway.awaitReady(20_000)) {
                mLab.record(gateway.name + " is not ready");
                return 2;
            }
        }
        Thread.sleep(6_000);
        List<String> firstTurns = new ArrayList<>();
        for (int program = 0; program <= OTHER_PROGRAMS; program++) {
            firstTurns.add(firstTurn(program));
        }
        if (firstTurns.contains(null)) {
            mLab.record("a first turn was not answered");
            return 2;
        }
        if (mLab.trouble && !crashEnginesUnder(firstTurns.get(0))) {
            return 2;
        }
        // The entries of the crashed engines are removed after three heartbeat intervals.
        Thread.sleep(CONTACT_MILLIS + 1_500);
        int lost = 0;
        for (int program = 1; program <= OTHER_PROGRAMS; program++) {
            lost += reachesEngine(program, firstTurns.get(program)) ? 0 : 1;
        }
        int begun = 0;
        for (int i = 0; i < NEW_PROGRAMS; i++) {
            begun += firstTurn(100 + i) == null ? 0 : 1;
        }
        mLab.record(
                "programs whose turn reached no engine in "
                        + TRIES
                        + " tries: "
                        + lost
                        + " of "
                        + OTHER_PROGRAMS
                        + "; first turns of new programs answered: "
                        + begun
                        + " of "
                        + NEW_PROGRAMS);
        if (begun * 10 < NEW_PROGRAMS * 9) {
            return 2;
        }
        if (lost > 0) {
            mLab.record("LOST broken: turns whose previous turn was answered whole reach no engine");
            return 1;
        }
        return 0;
    }

    /** Answers with three events; holds the turn of program 0 if its engine is to crash. */
    private void work(Lab.Engine engine, Lab.Request request, Socket socket)
            throws IOException, InterruptedException {
        mRan.put(request.id(), true);
        boolean isHeld =
                mLab.trouble
                        && "program-0".equals(request.header("X-Heathercourse-Program-Id"))
                        && request.header("X-Heathercourse-Previous-Turn") != null;
        if (isHeld) {
            mHeld.add(engine);
            Thread.sleep(DEADLINE_MILLIS);
            return;
        }
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= 3; i++) {
            events.append("id: ").append(i).append("\ndata: word ").append(i).append("\n\n");
        }
        OutputStream out = socket.getOutputStream();
        Lab.answer(socket, 200, request.id(), "Content-Type: text/event-stream\r\n", events.toString());
        out.flush();
    }

    private String firstTurn(int program) {
        String id = nextId(program);
        Lab.Response response =
                turn(mLab.gateways.get(program % 2), program, id, null, "first input " + program);
        return response != null && response.status == 200 && response.complete ? id : null;
    }

    private String nextId(int program) {
        return "p" + program + "-" + ++mSent;
    }

    private Lab.Response turn(
            Lab.Gateway gateway, int program, String id, String previous, String input) {
        return mLab.send(
                gateway,
                "POST",
                "/chat/a",
                id,
                DEADLINE_MILLIS,
                "Api-Key: key-1\r\nX-Heathercourse-Program-Id: program-"
                        + program
                        + "\r\nX-Heathercourse-Token-Budget: 2304\r\n"
                        + "X-Heathercourse-Token-Usage: 100,66\r\n"
                        + (previous == null
                                ? ""
                                : "X-Heathercourse-Previous-Turn: " + previous + "\r\n"),
                input);
    }

    /** Sends the turn of program 0 three times; the engine that runs it crashes each time. */
    private boolean crashEnginesUnder(String previous) throws Exception {
        for (int i = 0; i < CRASHES; i++) {
            String id = nextId(0);
            Thread client =
                    new Thread(() -> turn(mLab.gateways.get(0), 0, id, previous, INPUT));
            client.start();
            Lab.Engine engine = mHeld.poll(2, TimeUnit.SECONDS);
            if (engine == null) {
                mLab.record("the turn reached no engine");
                return false;
            }
            Thread.sleep(200);
            engine.crash();
            removeRowLater(engine);
            client.join();
            Thread.sleep(300);
        }
        return true;
    }

    private void removeRowLater(Lab.Engine engine) {
        Thread removal =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(3 * HEARTBEAT_MILLIS);
                            } catch (InterruptedException e) {
                                return;
                            }
                            mLab.record("row " + engine.id + " expires");
                            mLab.store.unregister(engine.id);
                        });
        removal.setDaemon(true);
        removal.start();
    }

    private boolean reachesEngine(int program, String previous) throws InterruptedException {
        boolean reaches = false;
        for (int i = 0; i < TRIES && !reaches; i++) {
            String id = nextId(program);
            turn(mLab.gateways.get(i % 2), program, id, previous, INPUT);
            reaches = mRan.containsKey(id);
            Thread.sleep(300);
        }
        return reaches;
    }
}
