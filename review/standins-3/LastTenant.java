import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A new version of the configuration takes away the only tenant and so the last key. The list of
 * tenants stays in the configuration and is empty.
 */
final class LastTenant {
    private static final long REVOCATION_MILLIS = 5_000;
    private static final int REQUESTS = 20;

    private static final String CONFIGURATION =
            "{\"version\":%d,\"routes\":[{\"name\":\"r-order\",\"host\":\"app.example\","
                    + "\"prefix\":\"/order/\",\"type\":\"non_idempotent\",\"timeout_ms\":2000,"
                    + "\"target_latency_ms\":250,\"priority\":2,\"service\":\"orders\","
                    + "\"attempts\":1,\"retains_history\":false,\"retention_s\":60.0,"
                    + "\"public\":false,\"session_affinity\":false,\"resumable\":false}],"
                    + "\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\","
                    + "\"connection_limit\":96,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                    + "\"tenants\":[%s]}";

    private static final String TENANT =
            "{\"name\":\"mill\",\"api_keys\":[\"key-1\"],\"priority\":1,"
                    + "\"requests_per_s\":190,\"burst\":190}";

    private LastTenant() {}

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
        lab.addEngine(
                        "i-order-1",
                        "orders",
                        (engine, request, socket) ->
                                Lab.answer(socket, 200, request.id(), "", "done"))
                .register("ready");
        configure(lab, 1, TENANT);
        lab.addGateway("frontend-a-1");
        lab.addGateway("frontend-a-2");
        for (Lab.Gateway gateway : lab.gateways) {
            if (!gateway.awaitReady(20_000)) {
                lab.record(gateway.name + " is not ready");
                return 2;
            }
        }
        Thread.sleep(2_000);
        List<String> before = send(lab, "before");
        if (before.stream().filter("200"::equals).count() < REQUESTS / 2) {
            return 2;
        }
        if (lab.trouble) {
            configure(lab, 7, "");
            lab.record("version 7, without the tenant and its key, is acknowledged");
        }
        Thread.sleep(REVOCATION_MILLIS + 1_000);
        List<String> after = send(lab, "after");
        long ran = after.stream().filter("200"::equals).count();
        lab.record("answers before: " + before);
        lab.record("answers to requests sent 6 s later and after that: " + after);
        if (lab.trouble && ran > 0) {
            lab.record("CONFIG broken: " + ran + " requests with the key taken away have run");
            return 1;
        }
        return lab.trouble || ran >= REQUESTS / 2 ? 0 : 2;
    }

    private static void configure(Lab lab, int version, String tenants) {
        String configuration = String.format(Locale.ROOT, CONFIGURATION, version, tenants);
        lab.record("operator writes op/config " + configuration);
        lab.store.configure(configuration);
    }

    private static List<String> send(Lab lab, String phase) throws InterruptedException {
        List<String> statuses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Lab.Response response =
                    lab.send(
                            lab.gateways.get(i % 2),
                            "POST",
                            "/order/yarn",
                            phase + "-" + i,
                            2_000,
                            "Api-Key: key-1\r\n",
                            "one bale");
            statuses.add(response == null ? "none" : Integer.toString(response.status));
            Thread.sleep(50);
        }
        return statuses;
    }
}
