import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of an engine, as a process of its own. It follows the section "Engines" of PROTOCOL.md.
 *
 * <p>Arguments: host, port, id, then name=value: work (ms before a plain answer; 5 if the path has /quick), events and gap (a
 * stream's events and the ms between them), framing (chunked or none), slots (requests beyond it are
 * refused as not run). Each event on the engine is printed as a line: what, request id, details.
 */
public final class Engine {
    private static String sId;
    private static int sWork = 20;
    private static int sEvents = 8;
    private static int sGap = 25;
    private static boolean sUnframed;
    private static int sSlots = 1000;
    private static final AtomicInteger RUNNING = new AtomicInteger();

    public static void main(String[] a) throws IOException {
        sId = a[2];
        for (int i = 3; i < a.length; i++) {
            String[] o = a[i].split("=", 2);
            switch (o[0]) {
                case "work" -> sWork = Integer.parseInt(o[1]);
                case "events" -> sEvents = Integer.parseInt(o[1]);
                case "gap" -> sGap = Integer.parseInt(o[1]);
                case "framing" -> sUnframed = o[1].equals("none");
                case "slots" -> sSlots = Integer.parseInt(o[1]);
                default -> throw new IllegalArgumentException(a[i]);
            }
        }
        ServerSocket server = new ServerSocket(Integer.parseInt(a[1]), 512, InetAddress.getByName(a[0]));
        say("LISTENING", "-", a[0] + ":" + a[1]);
        Thread parent = new Thread(() -> {
            try {
                while (System.in.read() >= 0) { }
            } catch (IOException e) {
                // ends below
            }
            Runtime.getRuntime().halt(0); // the driver has gone
        });
        parent.setDaemon(true);
        parent.start();
        while (true) {
            Socket s = server.accept();
            s.setTcpNoDelay(true);
            Thread t = new Thread(null, () -> serve(s), "c", 256 * 1024);
            t.setDaemon(true);
            t.start();
        }
    }

    static synchronized void say(String what, String id, String detail) {
        System.out.println(System.currentTimeMillis() + " " + sId + " " + what + " " + id + " " + detail);
        System.out.flush();
    }

    private static void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream(), 65536);
            OutputStream out = s.getOutputStream();
            while (true) {
                String line = line(in);
                if (line == null) {
                    return;
                }
                String[] first = line.split(" ");
                Map<String, String> h = new HashMap<>();
                for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
                    int c = l.indexOf(':');
                    h.put(l.substring(0, c).trim().toLowerCase(Locale.ROOT), l.substring(c + 1).trim());
                }
                long length = Long.parseLong(h.getOrDefault("content-length", "0"));
                long left = length;
                byte[] b = new byte[65536];
                while (left > 0) {
                    int n = in.read(b, 0, (int) Math.min(left, b.length));
                    if (n < 0) {
                        return;
                    }
                    left -= n;
                }
                String id = h.getOrDefault("x-heathercourse-request-id", "");
                String expected = h.getOrDefault("x-heathercourse-expected-instance", sId);
                if (!expected.equals(sId)) {
                    head(out, "421 Misdirected Request", id, "X-Heathercourse-Instance-Id: " + sId + "\r\nContent-Length: 0\r\n");
                    continue;
                }
                if (RUNNING.incrementAndGet() > sSlots) {
                    RUNNING.decrementAndGet();
                    say("REFUSED", id, "full");
                    head(out, "503 Service Unavailable", id, "X-Heathercourse-Not-Executed: 1\r\nContent-Length: 0\r\n");
                    continue;
                }
                try {
                    say("RUN", id, first[0] + " " + first[1] + " bytes=" + length + " after=" + h.get("last-event-id")
                            + " tenant=" + h.get("x-heathercourse-tenant"));
                    if (first[1].startsWith("/stream/")) {
                        stream(out, id, h.get("last-event-id"));
                        if (sUnframed) {
                            say("DONE", id, "stream ended, connection closed");
                            s.shutdownOutput();
                            return;
                        }
                    } else {
                        Thread.sleep(first[1].contains("/quick") ? 5 : sWork);
                        byte[] body = ("done " + id).getBytes(StandardCharsets.US_ASCII);
                        head(out, "200 OK", id, "X-Heathercourse-Response-Signature: sig-" + id
                                + "\r\nKeep-Alive: timeout=15\r\nContent-Length: " + body.length + "\r\n");
                        out.write(body);
                        out.flush();
                    }
                    say("DONE", id, "");
                } finally {
                    RUNNING.decrementAndGet();
                }
            }
        } catch (IOException | InterruptedException e) {
            say("BROKEN", "-", String.valueOf(e.getMessage()));
        }
    }

    private static void head(OutputStream out, String status, String id, String more) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\nX-Heathercourse-Request-Id: " + id + "\r\n" + more + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static void stream(OutputStream out, String id, String after) throws IOException, InterruptedException {
        head(out, "200 OK", id, "X-Heathercourse-Response-Signature: sig-" + id + "\r\nContent-Type: text/event-stream\r\n"
                + (sUnframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n"));
        int from = after == null ? 0 : Integer.parseInt(after);
        for (int i = from + 1; i <= sEvents; i++) {
            Thread.sleep(sGap);
            byte[] event = ("id: " + i + "\ndata: " + (i == sEvents ? "last" : "more") + " " + i + "\n\n").getBytes(StandardCharsets.US_ASCII);
            ByteArrayOutputStream o = new ByteArrayOutputStream();
            if (!sUnframed) {
                o.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            o.write(event);
            if (!sUnframed) {
                o.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            out.write(o.toByteArray());
            out.flush();
            say("EVENT", id, Integer.toString(i));
        }
        if (!sUnframed) {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                int n = b.length();
                return n > 0 && b.charAt(n - 1) == '\r' ? b.substring(0, n - 1) : b.toString();
            }
            b.append((char) c);
        }
        return null;
    }
}
