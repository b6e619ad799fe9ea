import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Three of twenty engines crash at once while each runs a turn of one tenant; its programs then
 * cannot go on for a minute, although seventeen engines are idle.
 */
final class Case10 {
    private static final int ENGINES = 20;

    /** 0.15 of the engines, as much as the pages let crash at once. */
    private static final int CRASHES = 3;

    private static final long CONTACT_MILLIS = 4_000;
    private static final long PROGRAM_MILLIS = 25_000;
    private static final String ROUTE =
            "{\"name\":\"kept\",\"host\":\"" + Kit.HOST + "\",\"prefix\":\"/kept/\","
                    + "\"type\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":251,"
                    + "\"priority\":1,\"service\":\"engines\",\"attempts\":2,"
                    + "\"retains_history\":true,\"retention_s\":60.0,\"public\":false,"
                    + "\"session_affinity\":true,\"resumable\":false,\"target_gap_ms\":200}";

    private Case10() {}

    public static void main(String[] arguments) {
        Kit.main(arguments, Case10::play);
    }

    private static boolean play(Kit kit) throws Exception {
        kit.configure(
                ROUTE,
                "{\"name\":\"engines\",\"connection_limit\":420,"
                        + "\"engine\":{\"slots\":6,\"stride\":22}}",
                "{\"name\":\"ghent\",\"api_keys\":[\"key-1\"],\"requests_per_s\":100,\"burst\":100},"
                    + "{\"name\":\"other\",\"api_keys\":[\"key-2\"],\"requests_per_s\":100,\"burst\":100}");
        for (int i = 1; i <= ENGINES; i++) {
            kit.new Engine("i-engine-" + i, "engines", Case10::run);
        }
        kit.startGateways(2);
        Kit.sleep(6_000);
        // Six programs of the tenant make their first turns.
        for (int program = 1; program <= 2 * CRASHES; program++) {
            kit.log("program-" + program + ", first turn: "
                    + turn(kit, program % 2, "p" + program + "-1", null, "program-" + program,
                            "key-1", "short rota of market " + program));
        }
        // The second turns of three of them run for a while; the others are between two turns.
        List<Thread> second = new ArrayList<>();
        for (int program = 1; program <= CRASHES; program++) {
            int number = program;
            Thread thread =
                    new Thread(
                            () ->
                                    kit.log("program-" + number + ", second turn: "
                                            + turn(kit, number % 2, "p" + number + "-2",
                                                    "p" + number + "-1", "program-" + number,
                                                    "key-1", "slow dispute " + number)));
            thread.start();
            second.add(thread);
        }
        Kit.sleep(700);
        if (Kit.trouble()) {
            int crashes = 0;
            for (Kit.Engine engine : kit.engines) {
                if (engine.runs.stream().anyMatch(r -> r.id().matches("p.-2"))
                        && crashes < CRASHES) {
                    crashes++;
                    engine.crash();
                }
            }
            kit.log(crashes + " of " + ENGINES + " engines have crashed");
            if (crashes < CRASHES) {
                throw new IOException("the turns did not run at " + CRASHES + " engines");
            }
            Kit.sleep(3_600);
            kit.engines.stream().filter(e -> e.ended).forEach(e -> kit.store.unregister(e.id));
        }
        for (Thread thread : second) {
            thread.join();
        }
        Kit.sleep(CONTACT_MILLIS + 1_000);
        kit.log("the programs that were between two turns go on");
        int firstTurns = 0;
        int firstServed = 0;
        boolean held = true;
        for (int program = CRASHES + 1; program <= 2 * CRASHES; program++) {
            boolean reached = false;
            // A turn is sent again from its start at most twice, each time with one retry.
            for (int tries = 0; tries < 6 && !reached; tries++) {
                String id = "p" + program + "-2-try-" + tries;
                String outcome =
                        turn(kit, tries % 2, id, "p" + program + "-1", "program-" + program,
                                "key-1", "short dispute " + program);
                reached = kit.engines.stream()
                        .anyMatch(e -> e.runs.stream().anyMatch(r -> r.id().equals(id)));
                kit.log("program-" + program + ", second turn, try " + (tries + 1) + ": " + outcome
                        + (reached ? ", reached an engine" : ", reached no engine"));
                for (int other = 0; other < 2; other++) {
                    firstTurns++;
                    String first = "o" + program + "-" + tries + "-" + other;
                    if (turn(kit, other, first, null, first, "key-2", "short listing")
                            .startsWith("200")) {
                        firstServed++;
                    }
                }
                Kit.sleep(250);
            }
            held &= reached;
        }
        kit.log(firstServed + " of " + firstTurns + " first turns of the other tenant were served");
        return held || firstServed < 0.9 * firstTurns;
    }

    private static String turn(
            Kit kit, int gateway, String id, String previous, String program, String key,
            String body) {
        try (Kit.Client client = kit.gateways.get(gateway).connect()) {
            List<String> more = new ArrayList<>();
            more.add("X-Heathercourse-Request-Deadline: 3000");
            more.add("X-Heathercourse-Program-Id: " + program);
            more.add("X-Heathercourse-Program-Deadline: " + PROGRAM_MILLIS);
            more.add("X-Heathercourse-Token-Budget: 23040");
            more.add("X-Heathercourse-Model: m");
            more.add("X-Heathercourse-Token-Usage: 650,66");
            if (previous != null) {
                more.add("X-Heathercourse-Previous-Turn: " + previous);
            }
            client.send(Kit.head("POST", "/kept/2f", id, key, body.length(),
                    more.toArray(new String[0])));
            client.send(body);
            Kit.Answer answer = client.read();
            return answer == null
                    ? "closed without an answer"
                    : answer.status + (answer.complete ? "" : " cut off")
                            + (answer.status == 503
                                    ? ", Retry-After " + answer.header("Retry-After") : "");
        } catch (IOException e) {
            return "connection: " + e.getMessage();
        }
    }

    private static boolean run(
            Kit.Engine engine, Kit.Request request, OutputStream out, Socket socket)
            throws IOException {
        engine.runs.add(request);
        Kit.beginStream(engine, request, out);
        int pauseMillis = request.text().contains("slow") ? 400 : 20;
        for (int number = 1; number <= 3; number++) {
            Kit.sleep(pauseMillis);
            Kit.chunk(out, "id: " + number + "\ndata: word " + number + "\n\n");
        }
        Kit.endChunks(out);
        return true;
    }
}
