package org.heathercourse.testing.hosted;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.heathercourse.gateway.RawCaller;
import org.heathercourse.gateway.RawCaller.Response;

/**
 * A caller of a soak that repeats failed requests with the same id where it may, until it is
 * stopped. Runs in a thread of its own.
 */
final class SecondAnswerCaller implements Runnable {
    /** Type of a request. */
    enum Type {
        /** May be repeated after any failure. */
        IDEMPOTENT("GET /read/notice", true),
        /** A stream, which may be resumed and repeated. */
        STREAMING("POST /stream/turn", true),
        /** May be repeated only after a promise that it did not run. */
        NON_IDEMPOTENT("POST /order/yarn", false);

        private final String mMethodAndPath;
        private final boolean mRepeatable;

        Type(String methodAndPath, boolean repeatable) {
            mMethodAndPath = methodAndPath;
            mRepeatable = repeatable;
        }

        boolean isRepeatable() {
            return mRepeatable;
        }
    }

    /**
     * An attempt of the caller and what it received.
     *
     * @param name identity of the attempt
     * @param requestId identity of the request, which several attempts may share
     * @param type type of the request
     * @param response the answer; null without one
     * @param problem bytes that no request waited for, or that are not an answer; null if none
     */
    record Attempt(String name, String requestId, Type type, Response response, String problem) {
        boolean isPromise() {
            return response != null && PROMISES.contains(response.status());
        }

        boolean isSuccess() {
            return response != null && response.isComplete() && response.status() / 100 == 2;
        }

        String signature() {
            return response.headers().get("x-heathercourse-response-signature");
        }

        @Override
        public String toString() {
            String answer =
                    response == null
                            ? "no answer"
                            : response.status() + " " + signature() + " [" + response.body() + "]";
            return name + " of " + requestId + " (" + type + "): " + answer;
        }
    }

    /** Statuses that promise that the request did not run and will not. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_PAUSE_MILLIS = 60;

    /** One of this number of pauses lasts until most second answers have been written. */
    private static final int PAUSES_PER_LONG_PAUSE = 10;

    private static final int LONG_PAUSE_MILLIS = 400;

    private final String mName;
    private final InetSocketAddress mAddress;
    private final boolean mKeepsConnection;
    private final SplittableRandom mRandom;
    private final List<Attempt> mAttempts = new ArrayList<>();
    private int mRequestCount;
    private volatile boolean mStopped;

    /**
     * Creates a caller.
     *
     * @param name prefix of its ids
     * @param address address of the gateway
     * @param keepsConnection whether it uses a connection for many requests
     * @param random source of its choices
     */
    SecondAnswerCaller(
            String name,
            InetSocketAddress address,
            boolean keepsConnection,
            SplittableRandom random) {
        mName = name;
        mAddress = address;
        mKeepsConnection = keepsConnection;
        mRandom = random;
    }

    /** Makes the caller end after its present attempt. */
    void stop() {
        mStopped = true;
    }

    /** Returns all attempts; to be read after the caller's thread has ended. */
    List<Attempt> attempts() {
        return mAttempts;
    }

    @Override
    public void run() {
        try {
            Attempt last = null;
            while (!mStopped) {
                last = useNewConnection(last);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes attempts on a new connection; returns the last one. */
    private Attempt useNewConnection(Attempt before) throws InterruptedException {
        Attempt last = before;
        try (RawCaller connection = new RawCaller(mAddress, 0)) {
            do {
                last = call(connection, last);
            } while (mKeepsConnection && isOpen(last) && !mStopped);
        } catch (IOException e) {
            // The gateway did not accept the connection; the caller tries again.
            Thread.onSpinWait();
        }
        return last;
    }

    private static boolean isOpen(Attempt attempt) {
        return attempt.problem() == null
                && attempt.response() != null
                && attempt.response().isComplete()
                && !"close".equals(attempt.response().headers().get("connection"));
    }

    private Attempt call(RawCaller connection, Attempt last) throws InterruptedException {
        boolean repeats = last != null && mayRepeat(last) && mRandom.nextInt(3) > 0;
        Type type = repeats ? last.type() : Type.values()[mRandom.nextInt(Type.values().length)];
        String requestId = repeats ? last.requestId() : mName + "-" + mRequestCount++;
        Attempt attempt = exchange(connection, requestId, type);
        mAttempts.add(attempt);
        return attempt;
    }

    private boolean mayRepeat(Attempt last) {
        long earlier =
                mAttempts.stream()
                        .filter(attempt -> attempt.requestId().equals(last.requestId()))
                        .count();
        return earlier < MAX_ATTEMPTS
                && !last.isSuccess()
                && (last.type().isRepeatable() || last.isPromise());
    }

    private Attempt exchange(RawCaller connection, String requestId, Type type)
            throws InterruptedException {
        String name = mName + "/" + mAttempts.size();
        Response response = null;
        String problem = null;
        try {
            connection.send(text(name, requestId, type));
            response = connection.readResponse();
        } catch (IOException e) {
            // The connection ended without an answer, which promises nothing.
            Thread.onSpinWait();
        } catch (RuntimeException e) {
            problem = "the answer is not valid HTTP: " + e;
        }
        boolean isLong = mRandom.nextInt(PAUSES_PER_LONG_PAUSE) == 0;
        Thread.sleep(isLong ? LONG_PAUSE_MILLIS : mRandom.nextInt(MAX_PAUSE_MILLIS));
        if (problem == null && hasReceivedBytes(connection)) {
            problem = "bytes without a waiting request";
        }
        return new Attempt(name, requestId, type, response, problem);
    }

    private static boolean hasReceivedBytes(RawCaller connection) {
        try {
            return connection.hasReceivedBytes();
        } catch (IOException e) {
            // The connection is broken.
            return false;
        }
    }

    private static String text(String name, String requestId, Type type) {
        return type.mMethodAndPath
                + " HTTP/1.1\r\nHost: "
                + HostedDeployment.HOST
                + "\r\nApi-Key: "
                + HostedDeployment.KEY
                + "\r\nX-Heathercourse-Request-Id: "
                + requestId
                + "\r\nX-Heathercourse-Request-Deadline: 2500\r\n"
                + SecondAnswers.ATTEMPT_HEADER
                + ": "
                + name
                + (type == Type.IDEMPOTENT ? "\r\n\r\n" : "\r\nContent-Length: 2\r\n\r\n{}");
    }
}
