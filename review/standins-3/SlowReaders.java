import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodType;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import jdk.incubator.foreign.CLinker;
import jdk.incubator.foreign.FunctionDescriptor;
import jdk.incubator.foreign.MemoryAccess;
import jdk.incubator.foreign.MemoryAddress;
import jdk.incubator.foreign.MemorySegment;
import jdk.incubator.foreign.ResourceScope;

/**
 * Crowds of clients on a public route. Each sends two small requests inside all limits ahead; an
 * answer has 130,000 bytes. With the disruption the clients do not read their answers; without it they
 * do. Clients have the segment size of an Ethernet link, as the loopback's 64 KB would let the
 * kernel take whole answers.
 */
final class SlowReaders {
    private static final int ANSWER_BYTES = 130_000;
    private static final int CLIENTS = 1_400;
    private static final int ENDS = 3;
    private static final int PAUSE_MILLIS = 5;

    /** Requests that each client sends ahead. */
    private static final int REQUESTS_AHEAD = 2;

    /** The idle timeout of the configuration is 15 s; a crowd stays for less than that. */
    private static final long MAX_ROUND_MILLIS = 14_000;

    /** Time at which no further round begins. */
    private static final long LAST_ROUND_MILLIS = 85_000;

    private static final int IPPROTO_TCP = 6;
    private static final int TCP_MAXSEG = 2;
    private static final int SEGMENT_BYTES = 1_460;

    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"name\":\"r-tile\",\"host\":\"app.example\","
                    + "\"prefix\":\"/tile/\",\"type\":\"idempotent\",\"timeout_ms\":3000,"
                    + "\"target_latency_ms\":300,\"priority\":2,\"service\":\"tiles\","
                    + "\"attempts\":2,\"retains_history\":false,\"retention_s\":60.0,"
                    + "\"public\":true,\"session_affinity\":false,\"resumable\":false}],"
                    + "\"services\":[{\"name\":\"tiles\",\"health_path\":\"/health\","
                    + "\"connection_limit\":160,\"protocol\":\"h1\",\"tls\":false}],"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                    + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                    + "\"tenants\":[{\"name\":\"mill\",\"api_keys\":[\"key-1\"],\"priority\":1,"
                    + "\"requests_per_s\":190,\"burst\":190}]}";

    private final Lab mLab;
    private final MethodHandle mSetOption;

    private SlowReaders(Lab lab) {
        mLab = lab;
        mSetOption =
                CLinker.getInstance()
                        .downcallHandle(
                                CLinker.systemLookup().lookup("setsockopt").get(),
                                MethodType.methodType(
                                        int.class,
                                        int.class,
                                        int.class,
                                        int.class,
                                        MemoryAddress.class,
                                        int.class),
                                FunctionDescriptor.of(
                                        CLinker.C_INT,
                                        CLinker.C_INT,
                                        CLinker.C_INT,
                                        CLinker.C_INT,
                                        CLinker.C_POINTER,
                                        CLinker.C_INT));
    }

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Lab lab = new Lab()) {
            exit = new SlowReaders(lab).run();
            lab.record("exit " + exit);
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        Lab.end(exit);
    }

    private int run() throws Exception {
        String body = "x".repeat(ANSWER_BYTES);
        for (int i = 0; i < 6; i++) {
            mLab.addEngine(
                            "i-tiles-" + i,
                            "tiles",
                            (engine, request, socket) ->
                                    Lab.answer(socket, 200, request.id(), "", body))
                    .register("ready");
        }
        mLab.store.configure(CONFIGURATION);
        mLab.addGateway("frontend-a-1");
        mLab.addGateway("frontend-a-2");
        if (!allReady()) {
            return 2;
        }
        List<Thread> threads = new ArrayList<>();
        int[] ends = new int[mLab.gateways.size()];
        for (int i = 0; i < ends.length; i++) {
            int number = i;
            Thread thread = new Thread(() -> ends[number] = countEnds(mLab.gateways.get(number)));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int machines = 0;
        for (int i = 0; i < ends.length; i++) {
            mLab.record(mLab.gateways.get(i).name + " ended by itself " + ends[i] + " times");
            machines += ends[i] >= ENDS ? 1 : 0;
        }
        return machines >= 2 ? 1 : 0;
    }

    private boolean allReady() throws InterruptedException {
        for (Lab.Gateway gateway : mLab.gateways) {
            if (!gateway.awaitReady(20_000)) {
                mLab.record(gateway.name + " is not ready");
                return false;
            }
        }
        Thread.sleep(1_500);
        return true;
    }

    private int countEnds(Lab.Gateway gateway) {
        int ends = 0;
        try {
            for (int round = 1; goesOn(round, ends); round++) {
                sendCrowd(gateway, round);
                if (gateway.process.waitFor(500, TimeUnit.MILLISECONDS)) {
                    ends++;
                    mLab.record(
                            gateway.name
                                    + " ended by itself, exit code "
                                    + gateway.process.exitValue()
                                    + ": "
                                    + gateway.log()
                                            .lines()
                                            .filter(line -> line.contains("OutOfMemory"))
                                            .findFirst()
                                            .orElse(""));
                    if (ends < ENDS) {
                        Thread.sleep(500);
                        gateway.start();
                        gateway.awaitReady(15_000);
                        Thread.sleep(1_000);
                    }
                }
            }
        } catch (Exception e) {
            mLab.record(gateway.name + ": " + e);
        }
        return ends;
    }

    /** Without the disruption there are three rounds, with it as many as three ends need. */
    private boolean goesOn(int round, int ends) {
        return mLab.trouble
                ? ends < ENDS && mLab.millis() < LAST_ROUND_MILLIS
                : round <= ENDS;
    }

    private void sendCrowd(Lab.Gateway gateway, int round) throws Exception {
        long end = mLab.millis() + MAX_ROUND_MILLIS;
        List<SocketChannel> clients = new ArrayList<>();
        long read = 0;
        int sent = 0;
        try (Selector selector = Selector.open()) {
            for (int i = 0; i < CLIENTS && gateway.process.isAlive(); i++) {
                SocketChannel client = connect(gateway);
                if (client == null) {
                    break;
                }
                clients.add(client);
                StringBuilder requests = new StringBuilder();
                for (int k = 0; k < REQUESTS_AHEAD; k++) {
                    String id = gateway.name + "-" + round + "-" + i + "-" + k;
                    requests.append(Lab.head("GET", "/tile/a", id, 3_000, "")).append("\r\n");
                }
                client.write(ByteBuffer.wrap(Lab.ascii(requests.toString())));
                sent++;
                client.configureBlocking(false);
                client.register(selector, SelectionKey.OP_READ);
                read += read(selector, PAUSE_MILLIS);
            }
            while (gateway.process.isAlive() && mLab.millis() < end) {
                read += read(selector, 100);
            }
        } catch (IOException e) {
            mLab.record("crowd at " + gateway.name + ": " + e);
        } finally {
            for (SocketChannel client : clients) {
                client.close();
            }
        }
        mLab.record(
                "round "
                        + round
                        + ": "
                        + sent
                        + " clients sent requests to "
                        + gateway.name
                        + " and read "
                        + read
                        + " bytes of the answers");
    }

    /** Waits; without the disruption, reads what has arrived. Returns the number of bytes. */
    private long read(Selector selector, int millis) throws Exception {
        if (mLab.trouble) {
            Thread.sleep(millis);
            return 0;
        }
        long read = 0;
        ByteBuffer buffer = ByteBuffer.allocate(256 * 1024);
        long end = mLab.millis() + millis;
        for (long left = millis; left > 0; left = end - mLab.millis()) {
            selector.select(left);
            for (SelectionKey key : selector.selectedKeys()) {
                buffer.clear();
                int count = ((SocketChannel) key.channel()).read(buffer);
                read += Math.max(0, count);
                if (count < 0) {
                    key.cancel();
                }
            }
            selector.selectedKeys().clear();
        }
        return read;
    }

    private SocketChannel connect(Lab.Gateway gateway) throws Exception {
        SocketChannel client = SocketChannel.open();
        client.setOption(StandardSocketOptions.SO_RCVBUF, mLab.trouble ? 2_304 : 128 * 1024);
        Method descriptor = client.getClass().getDeclaredMethod("getFDVal");
        descriptor.setAccessible(true);
        try (ResourceScope scope = ResourceScope.newConfinedScope()) {
            MemorySegment value = MemorySegment.allocateNative(Integer.BYTES, scope);
            MemoryAccess.setInt(value, SEGMENT_BYTES);
            int failed =
                    (int)
                            mSetOption.invokeExact(
                                    (int) descriptor.invoke(client),
                                    IPPROTO_TCP,
                                    TCP_MAXSEG,
                                    value.address(),
                                    Integer.BYTES);
            if (failed != 0) {
                throw new IOException("TCP_MAXSEG was not set");
            }
        } catch (Throwable e) {
            throw new IOException(e);
        }
        try {
            client.socket().connect(new InetSocketAddress(gateway.host, gateway.callers), 2_000);
            return client;
        } catch (IOException e) {
            client.close();
            return null;
        }
    }
}
