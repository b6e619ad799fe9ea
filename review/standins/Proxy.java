import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy whose open connections can go silent for good, without a reset, while new ones work. */
public final class Proxy implements AutoCloseable {
    private final ServerSocket mServer;
    private final String mTargetHost;
    private final int mTarget;
    private final List<Pair> mPairs = new CopyOnWriteArrayList<>();

    private static final class Pair {
        Socket near;
        Socket far;
        volatile boolean silent;
        volatile String lastRequest = "";
    }

    private volatile int mAnswerMillis;

    /**
     * Opens a port.
     *
     * @param target port to which connections are forwarded
     * @param answerMillis time that answers take more than the target needs
     */
    public Proxy(int target, int answerMillis) throws IOException {
        this("127.0.0.1", "127.0.0.1", target, answerMillis);
    }

    public Proxy(String host, String targetHost, int target, int answerMillis) throws IOException {
        mTargetHost = targetHost;
        mServer = new ServerSocket(0, 256, InetAddress.getByName(host));
        mTarget = target;
        mAnswerMillis = answerMillis;
        start(this::accept);
    }

    public int port() {
        return mServer.getLocalPort();
    }

    /** Changes the time that answers take. */
    public void setAnswerMillis(int millis) {
        mAnswerMillis = millis;
    }

    /** Makes all open connections silent; returns their number. */
    public int silence() {
        mPairs.removeIf(p -> p.near.isClosed());
        mPairs.forEach(p -> p.silent = true);
        return mPairs.size();
    }

    /**
     * Resets a part of the open connections that carry a request with a text.
     *
     * @return number of connections that were reset
     */
    public int reset(String text, double part) throws IOException {
        List<Pair> open = mPairs.stream().filter(p -> !p.near.isClosed() && p.lastRequest.contains(text)).toList();
        int n = (int) (open.size() * part);
        for (Pair p : open.subList(0, n)) {
            p.near.setSoLinger(true, 0);
            p.far.setSoLinger(true, 0);
            close(p.near);
            close(p.far);
        }
        return n;
    }

    private static void start(Runnable r) {
        Thread t = new Thread(null, r, "proxy", 128 * 1024);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        try {
            while (true) {
                Pair p = new Pair();
                p.near = mServer.accept();
                p.far = new Socket();
                p.far.connect(new InetSocketAddress(mTargetHost, mTarget), 1000);
                p.near.setTcpNoDelay(true);
                p.far.setTcpNoDelay(true);
                mPairs.add(p);
                start(() -> pump(p, p.near, p.far, 0));
                start(() -> pump(p, p.far, p.near, -1));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void pump(Pair p, Socket from, Socket to, int delayMillis) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] b = new byte[65536];
            for (int n = in.read(b); n >= 0; n = in.read(b)) {
                if (from == p.near) {
                    p.lastRequest = new String(b, 0, n, StandardCharsets.ISO_8859_1);
                }
                if (delayMillis < 0) {
                    Thread.sleep(mAnswerMillis);
                }
                if (!p.silent) {
                    out.write(b, 0, n);
                    out.flush();
                }
            }
        } catch (IOException | InterruptedException e) {
            // one end has closed
        }
        if (!p.silent) {
            close(p.near);
            close(p.far);
        }
    }

    private static void close(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // closed anyway
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
