package org.heathercourse.testing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * Sends random bytes over some connections of a server, and requests over others whose responses
 * are checked. Each connection is used once. Not safe for use by several threads.
 */
public final class MalformedInputLoad {
    private static final int SENDERS = 8;
    private static final int CALLERS = 8;

    /** A server reads bytes of this length in several parts, and rejects them after the first. */
    private static final int MAX_GARBAGE_BYTES = 16_000;

    private static final long DURATION_MILLIS = 5_000;
    private static final int TIMEOUT_MILLIS = 5_000;

    private final InetSocketAddress mAddress;
    private final byte[] mRequest;
    private final Predicate<String> mIsExpected;
    private final long mSeed;
    private final Queue<String> mUnexpected = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mExpectedCount = new AtomicInteger();

    /**
     * Creates a load.
     *
     * @param address address of the server
     * @param request a request after whose response the server closes the connection
     * @param isExpected accepts the whole expected response
     * @param seed seed of the random bytes
     */
    public MalformedInputLoad(
            InetSocketAddress address, String request, Predicate<String> isExpected, long seed) {
        mAddress = address;
        mRequest = request.getBytes(StandardCharsets.US_ASCII);
        mIsExpected = isExpected;
        mSeed = seed;
    }

    /**
     * Runs the load, at most until the first unexpected response.
     *
     * @return unexpected responses, and errors of the connections that carried a request
     * @throws InterruptedException if the thread is interrupted
     */
    public List<String> run() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DURATION_MILLIS);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SENDERS; i++) {
            SplittableRandom random = new SplittableRandom(mSeed + i);
            threads.add(new Thread(() -> repeatUntil(endNanos, () -> sendGarbage(random))));
        }
        for (int i = 0; i < CALLERS; i++) {
            threads.add(new Thread(() -> repeatUntil(endNanos, this::checkResponse)));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        return List.copyOf(mUnexpected);
    }

    /** Returns the number of expected responses. */
    public int expectedCount() {
        return mExpectedCount.get();
    }

    private void repeatUntil(long endNanos, Runnable step) {
        while (System.nanoTime() < endNanos && mUnexpected.isEmpty()) {
            step.run();
        }
    }

    private void sendGarbage(SplittableRandom random) {
        byte[] bytes = new byte[1 + random.nextInt(MAX_GARBAGE_BYTES)];
        random.nextBytes(bytes);
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes);
            socket.getInputStream().read();
        } catch (IOException e) {
            // A server may close or reset a connection that sends garbage.
            Thread.onSpinWait();
        }
    }

    private void checkResponse() {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(mRequest);
            byte[] bytes = socket.getInputStream().readAllBytes();
            String response = new String(bytes, StandardCharsets.ISO_8859_1);
            if (mIsExpected.test(response)) {
                mExpectedCount.incrementAndGet();
            } else {
                mUnexpected.add(response);
            }
        } catch (IOException e) {
            mUnexpected.add(e.toString());
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(mAddress, TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }
}
