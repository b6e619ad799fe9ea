import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The settings file gets a shorter grace_s, with SIGHUP; later the machine is stopped: SIGTERM, and SIGKILL after grace_s.
 * Argument 1: record file; TROUBLE=0 leaves the change of the settings out.
 */
public final class GraceChange {
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
        rig.configure(1, 1000);
        int port = Rig.ports(Rig.host(101), 1)[0];
        rig.engine(Rig.host(101), port, "app-1", "work=300");
        rig.register("app-1", "app", Rig.host(101), port, "ready", System.currentTimeMillis(), 1);
        List<Rig.Gateway> gateways = List.of(rig.gateway("frontend-a-1", Rig.host(1), 8), rig.gateway("frontend-a-2", Rig.host(2), 8), rig.gateway("frontend-a-3", Rig.host(3), 8));
        for (Rig.Gateway g : gateways) {
            g.awaitReady();
        }
        Thread.sleep(6000);
        int graceS = 8;
        if (trouble) {
            graceS = 5;
            gateways.get(0).changeGrace(8, graceS);
        }
        Thread.sleep(5000); // contact_ms and configuration_ms are long over
        Rig.Gateway leaving = gateways.get(0);
        ExecutorService clients = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        });
        AtomicBoolean on = new AtomicBoolean(true);
        AtomicInteger n = new AtomicInteger();
        Map<String, Long> sentAt = new ConcurrentHashMap<>();
        Map<String, String> cut = new ConcurrentHashMap<>();
        Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        clients.execute(() -> { // clients that keep an address for a while
            while (on.get()) {
                String id = String.format("%016x", n.incrementAndGet());
                clients.execute(() -> call(rig, leaving, id, sentAt, cut, outcomes));
                pause(40);
            }
        });
        Thread.sleep(1000);
        long term = System.currentTimeMillis();
        rig.note("SIGTERM to " + leaving.node + "; the platform's grace_s is " + graceS);
        leaving.process.destroy();
        while (leaving.process.isAlive() && System.currentTimeMillis() - term < graceS * 1000L) {
            pause(5);
        }
        rig.note(leaving.process.isAlive() ? "SIGKILL to " + leaving.node : leaving.node + " has exited by itself");
        leaving.process.destroyForcibly();
        on.set(false);
        Thread.sleep(2500);
        int lost = 0;
        for (Map.Entry<String, String> c : cut.entrySet()) {
            long after = sentAt.get(c.getKey()) - term;
            boolean passedOn = rig.engineLines.stream().anyMatch(l -> l.contains("RUN " + c.getKey() + " "));
            // Requests sent no later than 3 s after the SIGTERM aren't counted if the engine was still at work at the end.
            if (passedOn && after > 3000) {
                lost++;
                rig.note("request " + c.getKey() + ", sent " + after + " ms after the SIGTERM, was passed on to app-1 and ended without an answer: " + c.getValue());
            }
        }
        rig.note("outcomes " + outcomes + "; " + lost + " requests passed on and lost in a planned stop");
        return lost > 0 ? 1 : 0;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void call(Rig rig, Rig.Gateway g, String id, Map<String, Long> sentAt, Map<String, String> cut, Map<String, Integer> outcomes) {
        Socket s;
        try {
            s = Rig.connect(g.host, g.callers, 1000);
        } catch (Exception e) {
            outcomes.merge("no connection", 1, Integer::sum);
            return;
        }
        try (s) {
            s.setSoTimeout(3000);
            OutputStream o = s.getOutputStream();
            sentAt.put(id, System.currentTimeMillis());
            o.write(Rig.head("POST", "/order/a", id, 1200, 4, ""));
            o.write("work".getBytes());
            o.flush();
            Rig.Answer x = Rig.read(s.getInputStream());
            rig.note("client sends " + id + " to " + g.node + ": " + (x.status() == 0 ? x.error() : "" + x.status()));
            outcomes.merge(x.status() == 0 ? "closed" : "" + x.status(), 1, Integer::sum);
            if (x.status() == 0 || !x.complete()) {
                cut.put(id, String.valueOf(x.error()));
            }
        } catch (Exception e) {
            cut.put(id, e.toString());
            rig.note("client sends " + id + " to " + g.node + ": " + e);
            outcomes.merge("reset", 1, Integer::sum);
        }
    }
}
