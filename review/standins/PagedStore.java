import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;
import org.heathercourse.platform.rows.StoredRow;
import org.heathercourse.testing.hosted.StoreStandIn;

/**
 * The store stand-in with the pages of PROTOCOL.md: a read returns at most 500 rows, and more_pages. All other calls go to
 * the project's stand-in. A call takes 4 ms. Rows and row_version are those of a single moment.
 */
public final class PagedStore {
    private static final int MAX_ROWS = 500;
    private static final int ANSWER_MILLIS = 4;
    private final StoreStandIn mStore;
    private final HttpServer mServer;
    private final HttpClient mClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Called with the reader's port and the first key of each page of the table servers, after the page was read. */
    private volatile BiConsumer<Integer, String> mOnServersPage = (port, from) -> { };

    public PagedStore(StoreStandIn store) throws IOException {
        mStore = store;
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        mServer.createContext("/", this::handle);
        mServer.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(null, r, "store", 256 * 1024);
            t.setDaemon(true);
            return t;
        }));
        mServer.start();
    }

    public int port() {
        return mServer.getAddress().getPort();
    }

    public void onServersPage(BiConsumer<Integer, String> listener) {
        mOnServersPage = listener;
    }

    private void handle(HttpExchange x) throws IOException {
        byte[] body = x.getRequestBody().readAllBytes();
        int status;
        byte[] answer;
        try {
            Thread.sleep(ANSWER_MILLIS);
            if (x.getRequestURI().getPath().equals("/api/rows-get")) {
                status = 200;
                answer = page(x);
            } else {
                HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mStore.port() + x.getRequestURI()))
                        .method(x.getRequestMethod(), HttpRequest.BodyPublishers.ofByteArray(body)).build();
                HttpResponse<byte[]> a = mClient.send(r, HttpResponse.BodyHandlers.ofByteArray());
                status = a.statusCode();
                answer = a.body();
            }
            x.getResponseHeaders().set("Content-Type", "application/json");
            x.sendResponseHeaders(status, answer.length);
            x.getResponseBody().write(answer);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            x.close();
        }
    }

    private byte[] page(HttpExchange x) {
        Map<String, String> q = new HashMap<>();
        for (String p : x.getRequestURI().getRawQuery().split("&")) {
            String[] kv = p.split("=", 2);
            q.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
        }
        String table = q.get("table");
        String from = q.getOrDefault("from", "");
        var all = mStore.rows().read(table, q.getOrDefault("part", ""), from).join();
        List<StoredRow> rows = new ArrayList<>(all.rows());
        rows.sort(Comparator.comparing(r -> r.key().key()));
        int limit = Math.min(MAX_ROWS, Integer.parseInt(q.getOrDefault("limit", "" + MAX_ROWS)));
        boolean more = rows.size() > limit;
        StringBuilder b = new StringBuilder("{\"rows\":[");
        for (int i = 0; i < Math.min(limit, rows.size()); i++) {
            StoredRow r = rows.get(i);
            b.append(i == 0 ? "" : ",").append("{\"table\":\"").append(table).append("\",\"part\":\"").append(r.key().part()).append("\",\"key\":\"")
                    .append(r.key().key()).append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(r.value()))
                    .append("\",\"row_version\":").append(r.version()).append("}");
        }
        b.append("],\"more_pages\":").append(more).append(",\"row_version\":").append(all.storeVersion()).append("}");
        if (table.equals("servers")) {
            mOnServersPage.accept(x.getRemoteAddress().getPort(), from);
        }
        return b.toString().getBytes(StandardCharsets.UTF_8);
    }
}
