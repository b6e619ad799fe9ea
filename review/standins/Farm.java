import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;

/**
 * Many plain engines in one process, each at a loopback address of its own: host prefix, first number, count, port.
 * Engine N has the id app-NNNN and the address PREFIX.(1 + N / 200).(1 + N % 200).
 */
public final class Farm {
    public static void main(String[] a) throws Exception {
        String prefix = a[0];
        int count = Integer.parseInt(a[1]);
        int port = Integer.parseInt(a[2]);
        Executor pool = Executors.newFixedThreadPool(16);
        for (int n = 0; n < count; n++) {
            String id = id(n);
            HttpServer s = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host(prefix, n)), port), 16);
            s.createContext("/", x -> {
                x.getRequestBody().readAllBytes();
                String request = x.getRequestHeaders().getFirst("X-Heathercourse-Request-Id");
                String expected = x.getRequestHeaders().getFirst("X-Heathercourse-Expected-Instance");
                x.getResponseHeaders().set("X-Heathercourse-Request-Id", String.valueOf(request));
                x.getResponseHeaders().set("X-Heathercourse-Instance-Id", id);
                if (expected != null && !expected.equals(id)) {
                    x.sendResponseHeaders(421, -1);
                } else {
                    Engine.say("RUN", request, id + " " + x.getRequestURI());
                    byte[] b = ("done " + request).getBytes(StandardCharsets.US_ASCII);
                    x.getResponseHeaders().set("X-Heathercourse-Response-Signature", "sig-" + request);
                    x.sendResponseHeaders(200, b.length);
                    x.getResponseBody().write(b);
                }
                x.close();
            });
            s.setExecutor(pool);
            s.start();
        }
        Engine.say("LISTENING", "-", count + " engines");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> { }));
        while (System.in.read() >= 0) { }
        Runtime.getRuntime().halt(0);
    }

    static String id(int n) {
        return String.format("app-%04d", n);
    }

    static String host(String prefix, int n) {
        return prefix + "." + (1 + n / 200) + "." + (1 + n % 200);
    }
}
