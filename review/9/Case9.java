import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A gateway is killed within the stream of a turn whose history is kept; the client resumes the
 * stream at another gateway, and the program goes on with its next turn.
 */
final class Case9 {
    private static final int EVENTS = 6;
    private static final int EVENTS_BEFORE_KILL = 3;
    private static final String FIRST_INPUT = "Which warp suits the linen order?";
    private static final String SECOND_INPUT = "And for the wool order?";
    private static final String ROUTE =
            "{\"name\":\"kept\",\"host\":\"" + Kit.HOST + "\",\"prefix\":\"/kept/\","
                    + "\"type\":\"streaming\",\"timeout_ms\":4000,\"target_latency_ms\":300,"
                    + "\"priority\":1,\"service\":\"engines\",\"attempts\":1,"
                    + "\"retains_history\":true,\"retention_s\":60.0,\"public\":false,"
                    + "\"session_affinity\":true,\"resumable\":true,\"target_gap_ms\":200}";

    private Case9() {}

    public static void main(String[] arguments) {
        Kit.main(arguments, Case9::play);
    }

    private static boolean play(Kit kit) throws Exception {
        kit.configure(
                ROUTE,
                "{\"name\":\"engines\",\"connection_limit\":160,"
                        + "\"engine\":{\"slots\":16,\"stride\":9}}",
                "{\"name\":\"mill\",\"api_keys\":[\"key-1\"],\"requests_per_s\":100,\"burst\":100}");
        for (int i = 1; i <= 3; i++) {
            kit.new Engine("i-engine-" + i, "engines", Case9::run);
        }
        kit.startGateways(2);
        Kit.sleep(6_000);
        Kit.Gateway first = kit.gateways.get(0);
        Kit.Gateway second = kit.gateways.get(1);
        String previous = "turn-1";
        String received;
        try (Kit.Client client = first.connect()) {
            send(kit, client, "turn-1", FIRST_INPUT, "X-Heathercourse-Session-Id: s1");
            if (Kit.trouble()) {
                Kit.Answer part = client.read(EVENTS_BEFORE_KILL);
                received = part.text();
                first.signal("KILL");
            } else {
                Kit.Answer whole = client.read();
                received = whole.text();
                kit.log("turn-1 was answered " + whole.status + ", complete " + whole.complete);
            }
        }
        kit.log("the client has the events " + ids(received));
        if (Kit.trouble()) {
            previous = "turn-1-again";
            try (Kit.Client client = second.connect()) {
                String last = "Last-Event-Id: " + EVENTS_BEFORE_KILL;
                send(kit, client, previous, FIRST_INPUT, last);
                Kit.Answer rest = client.read();
                received += rest.text();
                kit.log(previous + " with " + last + " was answered " + rest.status
                        + ", complete " + rest.complete + ", events " + ids(rest.text()));
                if (rest.status != 200 || !rest.complete) {
                    throw new IOException("the stream was not resumed");
                }
            }
        }
        StringBuilder expected = new StringBuilder(FIRST_INPUT);
        for (String line : received.split("\n")) {
            if (line.startsWith("data: ")) {
                expected.append(line.substring("data: ".length())).append('\n');
            }
        }
        expected.append(SECOND_INPUT);
        try (Kit.Client client = second.connect()) {
            send(kit, client, "turn-2", SECOND_INPUT,
                    "X-Heathercourse-Previous-Turn: " + previous);
            Kit.Answer answer = client.read();
            kit.log("turn-2 after " + previous + " was answered " + answer.status
                    + ", complete " + answer.complete);
        }
        boolean held = true;
        boolean hasRun = false;
        for (Kit.Engine engine : kit.engines) {
            for (Kit.Request run : engine.runs) {
                kit.log(run.engine() + " ran " + run.id() + " with body " + quoted(run.text()));
                if (run.id().equals("turn-2")) {
                    hasRun = true;
                    held &= run.text().equals(expected.toString());
                }
            }
        }
        kit.log("turn-2 had to come with the body " + quoted(expected.toString()));
        if (!hasRun) {
            kit.log("turn-2 has not run");
        }
        return held;
    }

    private static void send(
            Kit kit, Kit.Client client, String id, String body, String more) throws IOException {
        kit.log("the client sends " + id + " with body " + quoted(body) + " and " + more);
        client.send(
                Kit.head("POST", "/kept/a", id, "key-1", body.length(),
                        "X-Heathercourse-Request-Deadline: 4000",
                        "X-Heathercourse-Program-Id: program-1",
                        "X-Heathercourse-Program-Deadline: 20000",
                        "X-Heathercourse-Token-Budget: 2304",
                        "X-Heathercourse-Model: m",
                        "X-Heathercourse-Token-Usage: 660,81",
                        more));
        client.send(body);
    }

    /** Makes the events behind the one that the request names, else all of them. */
    private static boolean run(
            Kit.Engine engine, Kit.Request request, OutputStream out, Socket socket)
            throws IOException {
        engine.runs.add(request);
        String last = request.headers().get("last-event-id");
        int from = last == null ? 1 : Integer.parseInt(last.trim()) + 1;
        Kit.beginStream(engine, request, out);
        for (int number = from; number <= EVENTS; number++) {
            Kit.chunk(out, "id: " + number + "\ndata: word " + number + "\n\n");
            Kit.sleep(150);
        }
        Kit.endChunks(out);
        return true;
    }

    private static String ids(String events) {
        StringBuilder ids = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith("id: ")) {
                ids.append(ids.length() == 0 ? "" : ",").append(line.substring(4));
            }
        }
        return ids.toString();
    }

    private static String quoted(String text) {
        return '"' + new String(text.getBytes(StandardCharsets.ISO_8859_1)).replace("\n", "\\n")
                + '"';
    }
}
