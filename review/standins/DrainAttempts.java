import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * An engine of plain requests reports draining and goes on serving; one gateway has a part of its connections to it reset.
 * Argument 1: record file; TROUBLE=0 leaves the drain and the reset out.
 */
public final class DrainAttempts {
    private static final int WORK_MILLIS = 2_500;
    private static final int REQUESTS = 36;

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
        rig.configure(1, 1000, List.of(), 1);
        long born = System.currentTimeMillis();
        List<Proxy> ways = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            int port = Rig.ports(Rig.host(100 + i), 1)[0];
            rig.engine(Rig.host(100 + i), port, "app-" + i, "work=" + WORK_MILLIS);
            Proxy way = new Proxy(Rig.host(110 + i), Rig.host(100 + i), port, 0);
            ways.add(way);
            rig.register("app-" + i, "app", Rig.host(110 + i), way.port(), "ready", born, 1);
        }
        List<Rig.Gateway> gateways = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            gateways.add(rig.gateway("frontend-a-" + i, Rig.host(i), 8));
        }
        for (Rig.Gateway g : gateways) {
            g.awaitReady();
        }
        Thread.sleep(6000); // rates are granted a while after the start
        ExecutorService clients = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        });
        for (int i = 0; i < 60; i++) { // the gateways have been in use before
            call(rig, gateways.get(i % 3), "/read/quick", String.format("cccc%012x", i));
        }
        List<Future<?>> calls = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("aaaa%012x", i);
            calls.add(clients.submit(() -> call(rig, gateways.get(0), "/read/a", id)));
            Thread.sleep(5);
        }
        if (trouble) {
            Thread.sleep(500);
            int most = 1; // the engine with the most requests leaves
            for (int i = 2; i <= 3; i++) {
                most = running(rig, i) > running(rig, most) ? i : most;
            }
            Proxy way = ways.get(most - 1);
            rig.register("app-" + most, "app", Rig.host(110 + most), way.port(), "draining", born, 2);
            Thread.sleep(500);
            rig.note(way.reset("X-Heathercourse-Request-Id: aaaa", 0.55) + " of " + running(rig, most) + " connections of frontend-a-1 to app-"
                    + most + " are reset; app-" + most + " goes on serving");
        }
        for (Future<?> f : calls) {
            f.get();
        }
        Map<String, Set<String>> ranAt = new HashMap<>();
        for (String l : rig.engineLines) {
            String[] w = l.split(" ");
            if (w[1].equals("RUN") && w[2].startsWith("aaaa")) {
                ranAt.computeIfAbsent(w[2], k -> new HashSet<>()).add(w[0]);
            }
        }
        long beyond = ranAt.values().stream().filter(s -> s.size() > 1).count();
        rig.note(beyond + " requests ran, in one client attempt, on more engines than their route's attempts (1); more than 3 break the rule");
        return beyond > 3 ? 1 : 0;
    }

    private static long running(Rig rig, int engine) {
        return rig.engineLines.stream().filter(l -> l.startsWith("app-" + engine + " RUN aaaa")).count();
    }

    private static void call(Rig rig, Rig.Gateway g, String path, String id) {
        try (Socket s = Rig.connect(g.host, g.callers, 1000)) {
            s.setSoTimeout(8000);
            OutputStream o = s.getOutputStream();
            o.write(Rig.head("GET", path, id, 4000, -1, ""));
            o.flush();
            rig.note("client sends " + id + " to " + g.node);
            Rig.Answer x = Rig.read(s.getInputStream());
            rig.note("client gets " + id + ": status " + x.status());
        } catch (Exception e) {
            rig.note("client " + id + ": " + e);
        }
    }
}
