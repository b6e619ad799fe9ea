import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients send long bodies, within max_body_bytes, others short ones. Then many users come at once: for a few seconds
 * there are x times as many clients with long bodies. Argument 1: record file; TROUBLE=0 leaves the burst out.
 */
public final class UploadBurst {
    private static final int USUAL = 12;
    private static final double BURST_X = 2.25;
    private static final long BURST_MILLIS = 6_000;
    private static final int MIN_BYTES = 3_000_000;
    private static final int MAX_BYTES = 4_194_304;
    private static final int PIECE_BYTES = 65_536;
    private static final long PIECE_MILLIS = 32; // 2 MB a second for a client
    private static final long PAUSE_MILLIS = 1_000;
    private static final int TIMEOUT_MILLIS = 1_200; // of the route of the short requests
    private static final int WAIT_MILLIS = 6_000; // for which their clients wait
    private static final int SLACK_MILLIS = 500;

    private record Short(long sentMillis, long answeredMillis, int status, String error) { }

    public static void main(String[] a) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Rig rig = new Rig(a[0])) {
            exit = run(rig, trouble);
            rig.note("exit " + exit);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
            exit = 2;
        }
        System.exit(exit);
    }

    private static int run(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, 1000, List.of("/notice/"));
        int port = Rig.ports(Rig.host(101), 1)[0];
        for (int i = 1; i <= 3; i++) {
            rig.engine(Rig.host(100 + i), port, "app-" + i, "work=100", "slots=24");
            rig.register("app-" + i, "app", Rig.host(100 + i), port, "ready", System.currentTimeMillis(), 1);
        }
        List<Rig.Gateway> gateways = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            gateways.add(rig.gateway("frontend-a-" + i, Rig.host(i), 8));
        }
        for (Rig.Gateway g : gateways) {
            g.awaitReady();
        }
        Thread.sleep(6000);
        ExecutorService clients = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(null, r, "client", 256 * 1024);
            t.setDaemon(true);
            return t;
        });
        Rig.Gateway g = gateways.get(0); // the clients that are looked at have picked this address
        long start = System.currentTimeMillis();
        long burstAt = start + 10_000;
        long burstEnd = burstAt + BURST_MILLIS;
        long end = burstEnd + 10_000;
        List<Short> answers = new ArrayList<>();
        AtomicInteger n = new AtomicInteger();
        for (int i = 0; i < USUAL; i++) {
            int k = i;
            clients.execute(() -> uploads(rig, g, k, start, burstEnd, n));
        }
        for (int i = 0; i < 20; i++) {
            clients.execute(() -> shorts(rig, g, end, n, answers));
        }
        if (trouble) {
            Thread.sleep(burstAt - System.currentTimeMillis());
            int more = (int) (USUAL * BURST_X) - USUAL;
            rig.note("a burst: " + more + " clients with long bodies besides the usual " + USUAL + ", for " + BURST_MILLIS + " ms");
            for (int i = 0; i < more; i++) {
                int k = 100 + i;
                clients.execute(() -> uploads(rig, g, k, burstAt, burstEnd, n));
            }
        }
        Thread.sleep(burstEnd - System.currentTimeMillis());
        rig.note("no client begins to send a long body any more");
        Thread.sleep(end + 6000 - System.currentTimeMillis());
        return judge(rig, answers, burstEnd);
    }

    private static int judge(Rig rig, List<Short> answers, long burstEnd) {
        int late = 0;
        int never = 0;
        synchronized (answers) {
            for (Short s : answers) {
                long took = s.answeredMillis() - s.sentMillis();
                if (took >= TIMEOUT_MILLIS || s.status() == 0) {
                    late++;
                    never += took >= TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
                    rig.note("short request sent " + (s.sentMillis() - burstEnd) + " ms after the burst's end: status " + s.status() + " after " + took + " ms " + s.error());
                }
            }
            rig.note(answers.size() + " short requests; " + late + " were unanswered at their route's timeout_ms, " + never + " of these had no answer "
                    + SLACK_MILLIS + " ms later; eight or more, and over a quarter, break the rule");
        }
        return never >= 8 && never * 4 > late ? 1 : 0;
    }

    private static void uploads(Rig rig, Rig.Gateway g, int k, long from, long to, AtomicInteger n) {
        java.util.Random r = new java.util.Random(k);
        pause(from - System.currentTimeMillis() + r.nextInt(300));
        while (System.currentTimeMillis() < to) {
            int bytes = MIN_BYTES + r.nextInt(Math.max(1, MAX_BYTES - MIN_BYTES));
            String id = String.format("%016x", 0xd00000 + n.incrementAndGet());
            String result;
            try (Socket s = Rig.connect(g.host, g.callers, 1000)) {
                s.setSoTimeout(6000);
                OutputStream o = s.getOutputStream();
                o.write(Rig.head("POST", "/order/long", id, 4000, bytes, ""));
                byte[] b = new byte[PIECE_BYTES];
                long next = System.currentTimeMillis();
                for (int left = bytes; left > 0; left -= PIECE_BYTES) {
                    o.write(b, 0, Math.min(left, PIECE_BYTES));
                    next += PIECE_MILLIS;
                    pause(next - System.currentTimeMillis());
                }
                o.flush();
                Rig.Answer x = Rig.read(s.getInputStream());
                result = x.status() + " " + (x.error() == null ? "" : x.error());
            } catch (Exception e) {
                result = e.toString();
            }
            rig.note("client with a long body of " + bytes + " bytes, " + id + ": " + result);
            pause(PAUSE_MILLIS);
        }
    }

    private static void shorts(Rig rig, Rig.Gateway g, long to, AtomicInteger n, List<Short> answers) {
        while (System.currentTimeMillis() < to) {
            try (Socket s = Rig.connect(g.host, g.callers, 1000)) {
                s.setSoTimeout(WAIT_MILLIS);
                while (System.currentTimeMillis() < to) {
                    String id = String.format("%016x", 0xe00000 + n.incrementAndGet());
                    long sent = System.currentTimeMillis();
                    OutputStream o = s.getOutputStream();
                    o.write(Rig.head("GET", "/notice/a", id, WAIT_MILLIS, -1, ""));
                    o.flush();
                    Rig.Answer x = Rig.read(s.getInputStream());
                    rig.note("client with a short request, " + id + ": " + x.status() + " after " + (System.currentTimeMillis() - sent) + " ms");
                    synchronized (answers) {
                        answers.add(new Short(sent, System.currentTimeMillis(), x.status(), String.valueOf(x.error())));
                    }
                    if (x.status() == 0 || x.closeAnnounced()) {
                        break;
                    }
                    pause(200);
                }
            } catch (Exception e) {
                rig.note("a client with short requests: " + e);
                pause(200);
            }
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
