import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * All gateways are killed at once and start again, as in a final fault. Programs that have used a
 * fifth of their budgets then go on from turns that were answered whole, and are answered 402.
 */
final class Case8 {
    private static final int PROGRAMS = 8;
    private static final int TURNS_BEFORE = 2;

    /** Tokens that a program may generate, and the most of one turn; a turn makes 3 events. */
    private static final int BUDGET = 576;

    private static final int TURN_TOKENS = 288;
    private static final int STRIDE = 22;
    private static final int EVENTS = 3;
    private static final long DOWN_MILLIS = 1_400;
    private static final long RECOVERY_MILLIS = 15_000;
    private static final long LAST_MILLIS = 4_000;

    /** The pauses of the programs end one after the other, the last ones within the last 4 s. */
    private static final long PAUSE_MILLIS = 7_000;

    private static final long PAUSE_BETWEEN_MILLIS = 1_000;
    private static final String ROUTE =
            "{\"name\":\"kept\",\"host\":\"" + Kit.HOST + "\",\"prefix\":\"/kept/\","
                    + "\"type\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":251,"
                    + "\"priority\":1,\"service\":\"engines\",\"attempts\":2,"
                    + "\"retains_history\":true,\"retention_s\":60.0,\"public\":false,"
                    + "\"session_affinity\":true,\"resumable\":false,\"target_gap_ms\":200}";

    private static final String SERVICES =
            "{\"name\":\"engines\",\"connection_limit\":420,"
                    + "\"engine\":{\"slots\":6,\"stride\":" + STRIDE + "}}";
    private static final String TENANTS =
            "{\"name\":\"ghent\",\"api_keys\":[\"key-1\"],"
                    + "\"requests_per_s\":348,\"burst\":348}";

    private Case8() {}

    public static void main(String[] arguments) {
        Kit.main(arguments, Case8::play);
    }

    private static boolean play(Kit kit) throws Exception {
        kit.configure(ROUTE, SERVICES, TENANTS);
        for (int i = 1; i <= 6; i++) {
            kit.new Engine("i-engine-" + i, "engines", Case8::run);
        }
        kit.startGateways(3);
        Kit.sleep(6_000);
        for (int turn = 1; turn <= TURNS_BEFORE; turn++) {
            for (int program = 1; program <= PROGRAMS; program++) {
                // While the gateways divide the rates among them, they answer 503.
                String outcome = "";
                for (int attempt = 0; attempt < 40 && !outcome.equals("200"); attempt++) {
                    Kit.sleep(attempt == 0 ? 0 : 250);
                    outcome =
                            turn(kit, program, "p" + program + "-" + turn,
                                    turn == 1 ? null : "p" + program + "-" + (turn - 1),
                                    "program-" + program);
                }
                kit.log("program-" + program + ", turn " + turn + ": " + outcome);
                if (!outcome.equals("200")) {
                    throw new IOException("the programs could not begin");
                }
            }
        }
        Kit.sleep(1_000);
        kit.configure(ROUTE, SERVICES, TENANTS);
        kit.log("a change of the configuration is acknowledged");
        if (Kit.trouble()) {
            for (Kit.Gateway gateway : kit.gateways) {
                gateway.signal("KILL");
            }
            Kit.sleep(DOWN_MILLIS);
            for (Kit.Gateway gateway : kit.gateways) {
                gateway.start();
            }
        }
        long back = Kit.nowMillis();
        kit.log("all machines are back; the programs go on from their last turns, one after the"
                + " other");
        int others = 0;
        int othersServed = 0;
        int lost = 0;
        int next = 1;
        for (int number = 0; Kit.nowMillis() < back + RECOVERY_MILLIS; number++) {
            long sinceBack = Kit.nowMillis() - back;
            String first = "new-" + number;
            String outcome = turn(kit, number, first, null, first);
            if (sinceBack >= RECOVERY_MILLIS - LAST_MILLIS) {
                others++;
                othersServed += outcome.equals("200") ? 1 : 0;
            }
            if (next <= PROGRAMS
                    && sinceBack >= PAUSE_MILLIS + (next - 1) * PAUSE_BETWEEN_MILLIS) {
                lost += goOn(kit, next) ? 0 : 1;
                next++;
            }
            Kit.sleep(200);
        }
        kit.log(othersServed + " of " + others
                + " first turns of other programs were served in the last 4 s");
        kit.log(lost + " of " + PROGRAMS + " programs reached no engine with their third turns; each"
                + " was handed " + TURNS_BEFORE * EVENTS * STRIDE + " tokens of " + BUDGET
                + ", and a turn makes " + TURN_TOKENS + " at the most");
        return lost == 0 || othersServed < 0.8 * others;
    }

    /**
     * Sends the third turn of a program as often as a client may: it ends at a 402, and sends a
     * turn that has failed otherwise twice more, each time with one retry.
     */
    private static boolean goOn(Kit kit, int program) {
        for (int attempt = 0; attempt < 6; attempt++) {
            String id = "p" + program + "-3-try-" + attempt;
            String outcome =
                    turn(kit, program + attempt, id, "p" + program + "-" + TURNS_BEFORE,
                            "program-" + program);
            boolean reached = hasReached(kit, id);
            kit.log("program-" + program + ", turn 3, try " + (attempt + 1) + ": " + outcome
                    + (reached ? ", reached an engine" : ", reached no engine"));
            if (reached) {
                return true;
            }
            if (outcome.equals("402")) {
                return false;
            }
            Kit.sleep(200);
        }
        return false;
    }

    private static boolean hasReached(Kit kit, String id) {
        return kit.engines.stream()
                .anyMatch(e -> e.runs.stream().anyMatch(r -> r.id().equals(id)));
    }

    private static String turn(Kit kit, int gateway, String id, String previous, String program) {
        Kit.Gateway taken = kit.gateways.get(gateway % kit.gateways.size());
        try (Kit.Client client = taken.connect()) {
            List<String> more = new ArrayList<>();
            more.add("X-Heathercourse-Request-Deadline: 3000");
            more.add("X-Heathercourse-Program-Id: " + program);
            more.add("X-Heathercourse-Program-Deadline: 40000");
            more.add("X-Heathercourse-Token-Budget: " + BUDGET);
            more.add("X-Heathercourse-Model: m");
            more.add("X-Heathercourse-Token-Usage: 650," + TURN_TOKENS);
            if (previous != null) {
                more.add("X-Heathercourse-Previous-Turn: " + previous);
            }
            String body = "What is left of the rota?";
            client.send(Kit.head("POST", "/kept/2f", id, "key-1", body.length(),
                    more.toArray(new String[0])));
            client.send(body);
            Kit.Answer answer = client.read();
            return answer == null
                    ? "closed without an answer"
                    : answer.status + (answer.complete ? "" : " cut off");
        } catch (IOException e) {
            return "connection: " + e.getMessage();
        }
    }

    private static boolean run(
            Kit.Engine engine, Kit.Request request, OutputStream out, Socket socket)
            throws IOException {
        engine.runs.add(request);
        Kit.beginStream(engine, request, out);
        for (int number = 1; number <= EVENTS; number++) {
            Kit.sleep(30);
            Kit.chunk(out, "id: " + number + "\ndata: word " + number + "\n\n");
        }
        Kit.endChunks(out);
        return true;
    }
}
