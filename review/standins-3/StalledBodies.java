import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * A crowd without keys sends bodies of legal size, stops just short of their end and stays open;
 * each sends one further byte now and then. Ordinary clients send small requests meanwhile.
 */
final class StalledBodies {
    /** Declared sizes, far below max_body_bytes; the small ones take what the others leave. */
    private static final int[] BODY_BYTES = {65_536, 4_096, 256};

    /** Bytes that a member of the crowd withholds. */
    private static final int WITHHELD_BYTES = 60;

    private static final int MAX_CROWD = 1_500;
    private static final int REQUESTS = 200;
    private static final long TRICKLE_MILLIS = 4_000;

    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r-notice\",\"host\":\"app.example\","
                    + "\"prefix\":\"/notice/\",\"type\":\"idempotent\",\"timeout_ms\":1200,"
                    + "\"target_latency_ms\":120,\"priority\":2,\"service\":\"office\","
                    + "\"attempts\":2,\"retains_history\":false,\"retention_s\":60.0,"
                    + "\"public\":false,\"session_affinity\":false,\"resumable\":false},"
                    + "{\"name\":\"r-order\",\"host\":\"app.example\","
                    + "\"prefix\":\"/order/\",\"type\":\"non_idempotent\",\"timeout_ms\":2000,"
                    + "\"target_latency_ms\":250,\"priority\":2,\"service\":\"office\","
                    + "\"attempts\":1,\"retains_history\":false,\"retention_s\":60.0,"
                    + "\"public\":false,\"session_affinity\":false,\"resumable\":false}],"
                    + "\"services\":[{\"name\":\"office\",\"health_path\":\"/health\","
                    + "\"connection_limit\":96,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                    + "\"tenants\":[{\"name\":\"mill\",\"api_keys\":[\"key-1\"],\"priority\":1,"
                    + "\"requests_per_s\":190,\"burst\":190}]}";

    private final Lab mLab;
    private volatile boolean mStopped;

    private StalledBodies(Lab lab) {
        mLab = lab;
    }

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Lab lab = new Lab()) {
            exit = new StalledBodies(lab).run();
            lab.record("exit " + exit);
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        Lab.end(exit);
    }

    private int run() throws Exception {
        mLab.addEngine(
                        "i-office-1",
                        "office",
                        (engine, request, socket) ->
                                Lab.answer(socket, 200, request.id(), "", "done"))
                .register("ready");
        mLab.store.configure(CONFIGURATION);
        mLab.addGateway("frontend-a-1");
        mLab.addGateway("frontend-a-2");
        for (Lab.Gateway gateway : mLab.gateways) {
            if (!gateway.awaitReady(20_000)) {
                mLab.record(gateway.name + " is not ready");
                return 2;
            }
        }
        Thread.sleep(1_500);
        if (mLab.trouble) {
            List<Thread> crowds = new ArrayList<>();
            for (Lab.Gateway gateway : mLab.gateways) {
                Thread crowd = new Thread(() -> crowd(gateway));
                crowd.setDaemon(true);
                crowd.start();
                crowds.add(crowd);
            }
            Thread.sleep(12_000);
        }
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            boolean isRead = i % 4 < 2;
            Lab.Response response =
                    mLab.send(
                            mLab.gateways.get(i % 2),
                            isRead ? "GET" : "POST",
                            isRead ? "/notice/a" : "/order/yarn",
                            "r" + i,
                            isRead ? 1_200 : 2_000,
                            "Api-Key: key-1\r\n",
                            isRead ? null : "one bale");
            served += response != null && response.status == 200 ? 1 : 0;
            Thread.sleep(100);
        }
        mStopped = true;
        for (Lab.Gateway gateway : mLab.gateways) {
            mLab.record(
                    gateway.name
                            + " alive="
                            + gateway.process.isAlive()
                            + " readiness 200="
                            + gateway.awaitReady(1_000));
        }
        mLab.record("ordinary requests: " + REQUESTS + ", served: " + served);
        if (!mLab.trouble) {
            return served == REQUESTS ? 0 : 2;
        }
        return served == 0 ? 1 : 0;
    }

    private void crowd(Lab.Gateway gateway) {
        List<Socket> members = new ArrayList<>();
        try {
            for (int bodyBytes : BODY_BYTES) {
                boolean isAccepted = true;
                int before = members.size();
                while (isAccepted && members.size() < MAX_CROWD) {
                    Socket member = sendBody(gateway, bodyBytes);
                    Thread.sleep(2);
                    isAccepted = !hasAnswer(member);
                    if (isAccepted) {
                        members.add(member);
                    } else {
                        member.close();
                    }
                }
                mLab.record(
                        "crowd at "
                                + gateway.name
                                + ": "
                                + (members.size() - before)
                                + " bodies of "
                                + bodyBytes
                                + " bytes stay open");
            }
            while (!mStopped) {
                Thread.sleep(TRICKLE_MILLIS);
                int sent = 0;
                for (Iterator<Socket> each = members.iterator(); each.hasNext(); ) {
                    Socket member = each.next();
                    try {
                        member.getOutputStream().write('x');
                        sent++;
                    } catch (IOException e) {
                        each.remove();
                    }
                }
                mLab.record("crowd at " + gateway.name + ": " + sent + " members sent a byte");
            }
        } catch (IOException | InterruptedException e) {
            mLab.record("crowd at " + gateway.name + ": " + e);
        }
    }

    private static Socket sendBody(Lab.Gateway gateway, int bodyBytes) throws IOException {
        Socket member = Lab.connect(gateway.host, gateway.callers, 2_000);
        member.getOutputStream()
                .write(
                        Lab.ascii(
                                "POST /x HTTP/1.1\r\nHost: app.example\r\nContent-Length: "
                                        + bodyBytes
                                        + "\r\n\r\n"
                                        + "x".repeat(bodyBytes - WITHHELD_BYTES)));
        return member;
    }

    private static boolean hasAnswer(Socket member) throws IOException {
        return member.getInputStream().available() > 0;
    }
}
