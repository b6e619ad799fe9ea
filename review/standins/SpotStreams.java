import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

/**
 * A model engine reports draining and is gone 2 s later, while it sends streams that end with their connections.
 * Argument 1: record file; TROUBLE=0 leaves the notice and the end out.
 */
public final class SpotStreams {
    private static final int EVENTS = 64;
    private static final int GAP_MILLIS = 50;
    private static final int STREAMS = 48;
    private static final int ENGINES = 8;

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
        String[] options = {"events=" + EVENTS, "gap=" + GAP_MILLIS, "framing=none"};
        long born = System.currentTimeMillis();
        int port = Rig.ports(Rig.host(101), 1)[0];
        Process first = null;
        for (int i = 1; i <= ENGINES; i++) {
            Process p = rig.engine(Rig.host(100 + i), port, "model-" + i, options);
            first = i == 1 ? p : first;
            rig.register("model-" + i, "models", Rig.host(100 + i), port, "ready", born, 1);
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
        List<Future<Boolean>> kept = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Rig.Gateway g = gateways.get(i % 3);
            String id = String.format("%016x", 0xa000 + i);
            kept.add(clients.submit(() -> stream(rig, g, id)));
        }
        if (trouble) {
            Thread.sleep(300);
            rig.register("model-1", "models", Rig.host(101), port, "draining", born, 2);
            Thread.sleep(2000);
            rig.note("model-1 is gone (SIGKILL), 2 s after its notice; the other engines go on");
            first.destroyForcibly();
        }
        int broken = 0;
        for (Future<Boolean> f : kept) {
            broken += f.get() ? 0 : 1;
        }
        int engines = (int) rig.engineLines.stream().filter(l -> l.startsWith("model-1 RUN")).count();
        rig.note(broken + " of " + STREAMS + " streams ended as complete before their last event; model-1 ran " + engines);
        if (engines == 0) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }

    /** Returns whether the rule held: the stream is whole, or does not look complete. */
    private static boolean stream(Rig rig, Rig.Gateway g, String id) throws Exception {
        try (Socket s = Rig.connect(g.host, g.callers, 1000)) {
            s.setSoTimeout(8000);
            OutputStream o = s.getOutputStream();
            o.write(Rig.head("POST", "/stream/a", id, 4000, 4, "X-Heathercourse-Model: m\r\nX-Heathercourse-Token-Usage: 400,600\r\n"));
            o.write("turn".getBytes());
            o.flush();
            rig.note("client sends " + id + " to " + g.node);
            Rig.Answer x = Rig.read(s.getInputStream());
            long events = x.body().lines().filter(l -> l.startsWith("data:")).count();
            boolean last = x.body().contains("data: last");
            rig.note("client gets " + id + ": status " + x.status() + ", " + events + " of " + EVENTS + " events, last event " + last
                    + ", ends as complete " + x.complete() + (x.error() == null ? "" : ", " + x.error()));
            return !(x.status() == 200 && x.complete()) || last && events == EVENTS;
        }
    }
}
