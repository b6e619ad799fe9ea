import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A gateway is stopped and started as planned while engines report draining; the list of engines has two pages.
 * Argument 1: record file; TROUBLE=0 leaves the stop and the start out.
 */
public final class PageGap {
    private static final int ENGINES = 540;
    private static final int RELEASED = 9;
    private static final int REQUESTS = 4_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long CONTACT_MILLIS = 3_000;

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
        rig.configure(1, 2000);
        String prefix = "127." + (130 + ProcessHandle.current().pid() % 100);
        int port = Rig.ports(prefix + ".1.1", 1)[0];
        rig.farm(prefix, ENGINES, port);
        long born = System.currentTimeMillis();
        for (int n = 0; n < ENGINES; n++) {
            rig.registerQuietly(Farm.id(n), "app", Farm.host(prefix, n), port, "ready", born, 1);
        }
        rig.note("store has acknowledged " + ENGINES + " entries of engines");
        PagedStore store = new PagedStore(rig.store);
        List<Rig.Gateway> gateways = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            gateways.add(rig.gateway("frontend-a-" + i, Rig.host(i), 8, store.port()));
        }
        for (Rig.Gateway g : gateways) {
            g.awaitReady();
        }
        Thread.sleep(6000);
        AtomicLong acked = new AtomicLong();
        AtomicBoolean armed = new AtomicBoolean();
        Runnable release = () -> {
            for (int n = 0; n < RELEASED; n++) {
                rig.registerQuietly(Farm.id(n), "app", Farm.host(prefix, n), port, "draining", born, 2);
            }
            acked.set(System.currentTimeMillis());
            rig.note("store has acknowledged that " + Farm.id(0) + " to " + Farm.id(RELEASED - 1) + " are draining");
        };
        store.onServersPage((reader, from) -> {
            rig.note("the store has read a page of the engines from key \"" + from.replace("\0", "\\0") + "\"");
            if (armed.compareAndSet(true, false)) {
                release.run();
            }
        });
        Rig.Gateway second = gateways.get(1);
        long startedAt = 0;
        if (trouble) {
            rig.note("SIGTERM to " + second.node);
            second.process.destroy();
            second.process.waitFor(12, TimeUnit.SECONDS);
            armed.set(true);
            second.start();
            startedAt = System.currentTimeMillis();
            for (int i = 0; acked.get() == 0 && i < 150; i++) {
                Thread.sleep(100);
            }
            second.awaitReady();
        } else {
            release.run();
        }
        if (acked.get() == 0) {
            return 2;
        }
        long from = Math.max(acked.get() + DRAIN_MILLIS, startedAt + CONTACT_MILLIS) + 500;
        Thread.sleep(Math.max(0, from - System.currentTimeMillis()));
        rig.note("from now on, no request may reach " + Farm.id(0) + " to " + Farm.id(RELEASED - 1));
        ExecutorService clients = Executors.newFixedThreadPool(24, r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        });
        AtomicInteger served = new AtomicInteger();
        int before = rig.engineLines.size();
        for (int i = 0; i < REQUESTS; i++) {
            Rig.Gateway g = gateways.get(i % 3);
            String id = g.node.substring(g.node.length() - 1) + String.format("%015x", i);
            clients.execute(() -> {
                int status = call(g, id);
                rig.note("client sends " + id + " to " + g.node + ": " + status);
                if (status == 200) {
                    served.incrementAndGet();
                }
            });
            Thread.sleep(5);
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        Thread.sleep(500);
        int late = 0;
        for (String l : rig.engineLines.subList(before, rig.engineLines.size())) {
            String[] w = l.split(" ");
            if (w[1].equals("RUN") && w[3].compareTo(Farm.id(RELEASED)) < 0) {
                late++;
                rig.note("request " + w[2] + ", sent to frontend-a-" + w[2].charAt(0) + ", reached the draining engine " + w[3]);
            }
        }
        rig.note(served + " of " + REQUESTS + " requests were served; " + late + " reached a draining engine over " + DRAIN_MILLIS + " ms after the acknowledgement");
        return late > 0 ? 1 : 0;
    }

    private static int call(Rig.Gateway g, String id) {
        try (Socket s = Rig.connect(g.host, g.callers, 1000)) {
            s.setSoTimeout(6000);
            OutputStream o = s.getOutputStream();
            o.write(Rig.head("GET", "/read/x", id, 1200, -1, ""));
            o.flush();
            return Rig.read(s.getInputStream()).status();
        } catch (Exception e) {
            return 0;
        }
    }
}
