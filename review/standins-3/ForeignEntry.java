import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer overwrites the entry of an engine three times: fields are missing, and it names
 * another service. The engine's own heartbeat replaces it each time within a heartbeat interval.
 */
final class ForeignEntry {
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long FOREIGN_DELAY_MILLIS = 50;
    private static final int FOREIGN_ENTRIES = 3;
    private static final int CLIENTS = 4;
    private static final int REQUESTS = 200;
    private static final long PAUSE_MILLIS = 100;

    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r-order\",\"host\":\"app.example\","
                    + "\"prefix\":\"/order/\",\"type\":\"non_idempotent\",\"timeout_ms\":2000,"
                    + "\"target_latency_ms\":250,\"priority\":2,\"service\":\"orders\","
                    + "\"attempts\":1,\"retains_history\":false,\"retention_s\":60.0,"
                    + "\"public\":false,\"session_affinity\":false,\"resumable\":false},"
                    + "{\"name\":\"r-notice\",\"host\":\"app.example\","
                    + "\"prefix\":\"/notice/\",\"type\":\"idempotent\",\"timeout_ms\":1200,"
                    + "\"target_latency_ms\":120,\"priority\":2,\"service\":\"notices\","
                    + "\"attempts\":2,\"retains_history\":false,\"retention_s\":60.0,"
                    + "\"public\":false,\"session_affinity\":false,\"resumable\":false}],"
                    + "\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\","
                    + "\"connection_limit\":96,\"protocol\":\"h1\",\"tls\":false},"
                    + "{\"name\":\"notices\",\"health_path\":\"/health\","
                    + "\"connection_limit\":96,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                    + "\"tenants\":[{\"name\":\"mill\",\"api_keys\":[\"key-1\"],\"priority\":1,"
                    + "\"requests_per_s\":190,\"burst\":190}]}";

    private ForeignEntry() {}

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Lab lab = new Lab()) {
            exit = run(lab);
            lab.record("exit " + exit);
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        Lab.end(exit);
    }

    private static int run(Lab lab) throws Exception {
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        Lab.Work work =
                (engine, request, socket) -> {
                    ranAt.put(request.id(), engine.service);
                    Lab.answer(socket, 200, request.id(), "", "done by " + engine.service);
                };
        List<Lab.Engine> engines = new ArrayList<>();
        engines.add(lab.addEngine("i-order-1", "orders", work));
        engines.add(lab.addEngine("i-order-2", "orders", work));
        Lab.Engine notices = lab.addEngine("i-notice-1", "notices", work);
        engines.add(notices);
        engines.forEach(engine -> engine.register("ready"));
        lab.store.configure(CONFIGURATION);
        Lab.Gateway gateway = lab.addGateway("frontend-a-1");
        if (!gateway.awaitReady(20_000)) {
            lab.record("the gateway is not ready");
            return 2;
        }
        Thread.sleep(2_000);
        Thread heartbeats = new Thread(() -> beat(lab, engines, notices));
        heartbeats.setDaemon(true);
        heartbeats.start();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger next = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client =
                    new Thread(
                            () -> {
                                for (int n = next.getAndIncrement();
                                        n < REQUESTS;
                                        n = next.getAndIncrement()) {
                                    sendOrder(lab, gateway, "o" + n, answered);
                                }
                            });
            clients.add(client);
            client.start();
        }
        for (Thread client : clients) {
            client.join();
        }
        long wrong = ranAt.values().stream().filter("notices"::equals).count();
        lab.record(
                "requests of /order/: "
                        + REQUESTS
                        + ", answered 200: "
                        + answered.get()
                        + ", run by service notices: "
                        + wrong);
        if (answered.get() == 0) {
            return 2;
        }
        if (wrong > 0) {
            lab.record("ROUTE broken: no configuration allows /order/ to go to notices");
            return 1;
        }
        return 0;
    }

    private static void sendOrder(
            Lab lab, Lab.Gateway gateway, String id, AtomicInteger answered) {
        Lab.Response response =
                lab.send(
                        gateway,
                        "POST",
                        "/order/yarn",
                        id,
                        2_000,
                        "Api-Key: key-1\r\n",
                        "one bale");
        if (response != null && response.status == 200) {
            answered.incrementAndGet();
        }
        pause(PAUSE_MILLIS);
    }

    /**
     * Writes the entry of each engine as engines do, about every 1.2 s; with the disruption,
     * another writer overwrites that of one engine a little later, three times in all.
     */
    private static void beat(Lab lab, List<Lab.Engine> engines, Lab.Engine overwritten) {
        for (int beat = 0; true; beat++) {
            engines.forEach(engine -> engine.register("ready"));
            pause(FOREIGN_DELAY_MILLIS);
            if (lab.trouble && beat >= 1 && beat <= FOREIGN_ENTRIES) {
                String foreign =
                        String.format(
                                Locale.ROOT,
                                "{\"service\":\"orders\",\"address\":\"%s\",\"zone\":\"zone-a\","
                                        + "\"slots\":6,\"state\":\"ready\"}",
                                overwritten.address());
                lab.record("another writer writes row " + overwritten.id + ": " + foreign);
                lab.store.register(overwritten.id, foreign);
            }
            pause(HEARTBEAT_MILLIS - FOREIGN_DELAY_MILLIS);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
