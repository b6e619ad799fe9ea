import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Rounds of the same requests to two gateways. A gateway that ends is started again, as the
 * platform does. Ends when both have ended three times, or after some rounds. Checks the rule Fault: processes end by themselves three times on two machines.
 */
final class Rounds {
    static final int ROUNDS = 5;
    private static final int ENDS = 3;
    private static final long LAST_ROUND_MILLIS = 90_000;
    static final String KEPT_ROUTE =
            "{\"name\":\"kept\",\"host\":\"" + Kit.HOST + "\",\"prefix\":\"/kept/\","
                    + "\"type\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":251,"
                    + "\"priority\":1,\"service\":\"engines\",\"attempts\":2,"
                    + "\"retains_history\":true,\"retention_s\":60.0,\"public\":false,"
                    + "\"session_affinity\":true,\"resumable\":false,\"target_gap_ms\":200}";
    static final String ENGINES =
            "{\"name\":\"engines\",\"connection_limit\":420,"
                    + "\"engine\":{\"slots\":6,\"stride\":22}}";
    static final String TENANTS =
            "{\"name\":\"guests\",\"api_keys\":[\"key-guests\"],"
                    + "\"requests_per_s\":348,\"burst\":348},"
                    + "{\"name\":\"stalls\",\"api_keys\":[\"key-stalls\"],"
                    + "\"requests_per_s\":348,\"burst\":348}";

    /** Sends the requests of one round to one gateway; ends early if the gateway has ended. */
    interface Load {
        void send(Kit kit, Kit.Gateway gateway, int round) throws Exception;
    }

    private Rounds() {}

    static boolean play(Kit kit, Load load) throws Exception {
        kit.configure(KEPT_ROUTE, ENGINES, TENANTS, 16_384, 4_194_304);
        for (int i = 1; i <= 16; i++) {
            kit.new Engine("i-engine-" + i, "engines", Rounds::run);
        }
        kit.startGateways(2);
        Kit.sleep(4_000);
        Map<String, Integer> ends = new TreeMap<>();
        AtomicBoolean stopped = new AtomicBoolean();
        Map<String, Integer> ordinary = new ConcurrentHashMap<>();
        Thread caller = new Thread(() -> callOrdinarily(kit, ordinary, stopped));
        caller.start();
        int rounds = Kit.trouble() ? ROUNDS : ENDS;
        for (int round = 1;
                round <= rounds && Kit.nowMillis() < LAST_ROUND_MILLIS && !isBroken(ends);
                round++) {
            kit.log("round " + round);
            int number = round;
            List<Thread> threads = new ArrayList<>();
            for (Kit.Gateway gateway : kit.gateways) {
                Thread thread =
                        new Thread(
                                () -> {
                                    try {
                                        load.send(kit, gateway, number);
                                    } catch (Exception e) {
                                        kit.log("load: " + e);
                                    }
                                });
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Kit.sleep(800);
            settle(kit, ends);
        }
        stopped.set(true);
        caller.join();
        kit.log("ordinary caller: " + new TreeMap<>(ordinary));
        kit.log("ends by themselves, of two gateways: " + ends);
        return !isBroken(ends);
    }

    private static boolean isBroken(Map<String, Integer> ends) {
        return ends.values().stream().filter(count -> count >= ENDS).count() >= 2;
    }

    /** Starts gateways that have ended again, until all are ready or the rule is broken. */
    private static void settle(Kit kit, Map<String, Integer> ends) throws IOException {
        boolean restarted = false;
        long end = Kit.nowMillis() + 20_000;
        while (Kit.nowMillis() < end) {
            boolean ready = true;
            for (Kit.Gateway gateway : kit.gateways) {
                if (!gateway.process.isAlive()) {
                    ends.merge(gateway.vm, 1, Integer::sum);
                    kit.log("gateway " + gateway.vm + " ended by itself, exit code "
                            + gateway.process.exitValue() + ": "
                            + gateway.lastLog().lines().filter(l -> l.contains("OutOfMemory"))
                                    .findFirst().orElse(""));
                    if (isBroken(ends)) {
                        return;
                    }
                    gateway.start();
                    restarted = true;
                }
                ready &= gateway.isReady();
            }
            if (ready) {
                break;
            }
            Kit.sleep(100);
        }
        Kit.sleep(restarted ? 1_500 : 0);
    }

    /** An engine reads the turn and makes three events. */
    private static boolean run(
            Kit.Engine engine, Kit.Request request, java.io.OutputStream out, java.net.Socket s)
            throws IOException {
        Kit.beginStream(engine, request, out);
        for (int number = 1; number <= 3; number++) {
            Kit.sleep(50);
            Kit.chunk(out, "id: " + number + "\ndata: token " + number + "\n\n");
        }
        Kit.endChunks(out);
        return true;
    }

    /** Sends a short turn every 250 ms to the gateways in turn. */
    private static void callOrdinarily(
            Kit kit, Map<String, Integer> ordinary, AtomicBoolean stopped) {
        for (int number = 0; !stopped.get(); number++) {
            Kit.Gateway gateway = kit.gateways.get(number % kit.gateways.size());
            String outcome = turn(gateway, "ordinary-" + number, null, "key-stalls", "hello");
            ordinary.merge(outcome, 1, Integer::sum);
            Kit.sleep(250);
        }
    }

    /** Sends one turn; returns how it ended. */
    static String turn(
            Kit.Gateway gateway, String id, String previous, String key, String body) {
        try (Kit.Client client = gateway.connect()) {
            List<String> more = new ArrayList<>();
            more.add("X-Heathercourse-Request-Deadline: 3000");
            more.add("X-Heathercourse-Model: m");
            more.add("X-Heathercourse-Token-Usage: 650,66");
            if (previous != null) {
                more.add("X-Heathercourse-Previous-Turn: " + previous);
            }
            client.send(
                    Kit.head("POST", "/kept/a", id, key, body.length(),
                            more.toArray(new String[0])));
            client.send(body);
            Kit.Answer answer = client.read();
            if (answer == null) {
                return "closed without an answer";
            }
            return answer.status + (answer.complete ? "" : " cut off");
        } catch (IOException e) {
            return "connection: " + e.getMessage();
        }
    }

    /** Sends turns at once and logs how they ended. */
    static void crowd(
            Kit kit, Kit.Gateway gateway, String name, int count, String previous, String body)
            throws InterruptedException {
        Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        ExecutorService pool = Executors.newFixedThreadPool(count);
        for (int i = 0; i < count; i++) {
            String id = name + "-" + gateway.vm + "-" + i;
            pool.submit(
                    () ->
                            outcomes.merge(
                                    turn(gateway, id, previous, "key-guests", body),
                                    1,
                                    Integer::sum));
        }
        pool.shutdown();
        pool.awaitTermination(10, TimeUnit.SECONDS);
        kit.log(count + " turns of " + body.length() + " bytes to " + gateway.vm + ": "
                + new TreeMap<>(outcomes));
    }
}
