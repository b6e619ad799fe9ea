package org.heathercourse.testing.hosted;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.gateway.RawCaller;
import org.heathercourse.gateway.RawCaller.Response;

/**
 * A caller of a soak: sends requests to one gateway until it is stopped, whether or not the gateway
 * leaves, as a caller does that keeps an address. Runs in a thread of its own.
 */
final class SoakCaller implements Runnable {
    /** How a caller uses its connections. */
    enum Behavior {
        /** Streams without a pause on a kept connection, so that a call is always active. */
        STEADY,
        /** All types of requests on a kept connection, with short pauses. */
        KEPT,
        /** A kept connection that is idle for long before each request. */
        IDLE,
        /** A new connection for each request. */
        NEW_CONNECTION,
        /** Sends the head and the body in parts with pauses. */
        SLOW_SENDER,
        /** Reads large answers late, through a small receive buffer. */
        SLOW_READER,
        /** Sends a second request while the first one runs. */
        PIPELINED
    }

    private static final int MAX_SHORT_PAUSE_MILLIS = 60;
    private static final int MAX_IDLE_MILLIS = 2_500;
    private static final int MAX_RECONNECT_PAUSE_MILLIS = 80;
    private static final int MAX_HEAD_PAUSE_MILLIS = 300;
    private static final int MAX_BODY_PAUSE_MILLIS = 600;
    private static final int MAX_READ_PAUSE_MILLIS = 700;
    private static final int MAX_PIPELINE_PAUSE_MILLIS = 200;
    private static final int MIN_EVENT_INTERVAL_MILLIS = 60;
    private static final int MAX_EVENT_INTERVAL_MILLIS = 300;
    private static final int MAX_ANSWER_DELAY_MILLIS = 500;
    private static final int LARGE_BODY_BYTES = 400_000;
    private static final int SMALL_BUFFER_BYTES = 8_192;
    private static final int REQUESTS_PER_PROGRAM = 4;

    private final String mName;
    private final Behavior mBehavior;
    private final SoakGateway mGateway;
    private final SplittableRandom mRandom;
    private final Ticker mTicker;
    private final List<SoakRequest> mRequests = new ArrayList<>();

    /** Whether the last response that was read announced the close of its connection. */
    private boolean mCloseAnnounced;

    private volatile boolean mStopped;

    /**
     * Creates a caller.
     *
     * @param name prefix of its request ids
     * @param behavior how it uses its connections
     * @param gateway the gateway that it sends to
     * @param random source of its choices
     * @param ticker clock for the times of its requests
     */
    SoakCaller(
            String name,
            Behavior behavior,
            SoakGateway gateway,
            SplittableRandom random,
            Ticker ticker) {
        mName = name;
        mBehavior = behavior;
        mGateway = gateway;
        mRandom = random;
        mTicker = ticker;
    }

    /** Makes the caller end after its present request. */
    void stop() {
        mStopped = true;
    }

    /** Returns all requests; to be read after the caller's thread has ended. */
    List<SoakRequest> requests() {
        return mRequests;
    }

    @Override
    public void run() {
        try {
            while (!mStopped) {
                useNewConnection();
                pause(MAX_RECONNECT_PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void useNewConnection() throws InterruptedException {
        SoakGateway.Run run = mGateway.run();
        int bufferBytes = mBehavior == Behavior.SLOW_READER ? SMALL_BUFFER_BYTES : 0;
        try (RawCaller connection = new RawCaller(mGateway.address(), bufferBytes)) {
            if (mGateway.run() != run) {
                // The process changed meanwhile: it is unknown which one accepted the connection.
                return;
            }
            boolean isOpen = true;
            while (isOpen && !mStopped) {
                pauseBeforeRequest();
                isOpen = exchange(connection, run) && mBehavior != Behavior.NEW_CONNECTION;
            }
        } catch (IOException e) {
            // The gateway is down; the caller tries the address again.
            Thread.onSpinWait();
        }
    }

    private void pauseBeforeRequest() throws InterruptedException {
        switch (mBehavior) {
            case STEADY -> {}
            case IDLE -> pause(MAX_IDLE_MILLIS);
            default -> pause(MAX_SHORT_PAUSE_MILLIS);
        }
    }

    private void pause(int maxMillis) throws InterruptedException {
        Thread.sleep(mRandom.nextInt(maxMillis));
    }

    /** Sends one request, or two if pipelined; returns whether the connection can be used again. */
    private boolean exchange(RawCaller connection, SoakGateway.Run run)
            throws InterruptedException {
        List<SoakRequest> sent = new ArrayList<>();
        boolean isOpen = send(connection, run, sent);
        boolean sentAfterHead = false;
        if (isOpen && mBehavior == Behavior.PIPELINED) {
            pause(MAX_PIPELINE_PAUSE_MILLIS);
            sentAfterHead = hasReceivedBytes(connection);
            send(connection, run, sent);
        }
        if (mBehavior == Behavior.SLOW_READER) {
            pauseBeforeRead(sent.get(0));
        }
        return readAll(connection, sent, sentAfterHead);
    }

    private static boolean hasReceivedBytes(RawCaller connection) {
        try {
            return connection.hasReceivedBytes();
        } catch (IOException e) {
            // The connection is broken; the next request will not be sent in full.
            return false;
        }
    }

    private void pauseBeforeRead(SoakRequest request) throws InterruptedException {
        long startMillis = mTicker.readMillis();
        pause(MAX_READ_PAUSE_MILLIS);
        request.recordReadPause(mTicker.readMillis() - startMillis);
    }

    /** Reads the responses in order; returns whether the connection can be used again. */
    private boolean readAll(
            RawCaller connection, List<SoakRequest> sent, boolean secondSentAfterHead) {
        boolean isOpen = true;
        for (int i = 0; i < sent.size(); i++) {
            if (i > 0 && mCloseAnnounced && secondSentAfterHead) {
                sent.get(i).recordSentAfterClose();
            }
            isOpen = read(connection, sent.get(i));
        }
        return isOpen;
    }

    // Requests

    private boolean send(RawCaller connection, SoakGateway.Run run, List<SoakRequest> sent)
            throws InterruptedException {
        String path = choosePath();
        SoakRequest request =
                new SoakRequest(mName + "-" + mRequests.size(), mBehavior + " " + path, run);
        mRequests.add(request);
        sent.add(request);
        try {
            write(connection, text(request.id(), path));
            request.recordSent(mTicker.readMillis());
            return true;
        } catch (IOException e) {
            // The gateway closed the connection before the request was sent in full.
            return false;
        }
    }

    private String choosePath() {
        String delay = "?answer_delay_ms=" + mRandom.nextInt(MAX_ANSWER_DELAY_MILLIS);
        String stream =
                "/stream/turn?event_interval_ms="
                        + mRandom.nextInt(MIN_EVENT_INTERVAL_MILLIS, MAX_EVENT_INTERVAL_MILLIS);
        return switch (mBehavior) {
            case STEADY -> stream;
            case SLOW_READER -> "/read/large" + delay + "&body_bytes=" + LARGE_BODY_BYTES;
            case SLOW_SENDER -> "/order/yarn" + delay;
            default ->
                    switch (mRandom.nextInt(3)) {
                        case 0 -> stream;
                        case 1 -> "/read/notice" + delay;
                        default -> "/order/yarn" + delay;
                    };
        };
    }

    private String text(String id, String path) {
        StringBuilder text = new StringBuilder();
        text.append(path.startsWith("/read/") ? "GET " : "POST ").append(path);
        text.append(" HTTP/1.1\r\nHost: ").append(HostedDeployment.HOST);
        text.append("\r\nApi-Key: ").append(HostedDeployment.KEY);
        text.append("\r\nX-Heathercourse-Request-Id: ").append(id);
        text.append("\r\nX-Heathercourse-Request-Deadline: 2500\r\n");
        if (path.startsWith("/stream/")) {
            text.append("X-Heathercourse-Program-Id: program-").append(mName).append('-');
            text.append(mRequests.size() / REQUESTS_PER_PROGRAM);
            text.append("\r\nX-Heathercourse-Token-Budget: 1000\r\n");
            text.append("X-Heathercourse-Token-Usage: 100,50\r\n");
        }
        if (path.startsWith("/read/")) {
            return text.append("\r\n").toString();
        }
        return text.append("Content-Length: 12\r\n\r\n{\"n\":123456}").toString();
    }

    private void write(RawCaller connection, String text) throws IOException, InterruptedException {
        if (mBehavior != Behavior.SLOW_SENDER) {
            connection.send(text);
            return;
        }
        int bodyStart = text.indexOf("\r\n\r\n") + 4;
        int bodyMiddle = (bodyStart + text.length()) / 2;
        connection.send(text.substring(0, bodyStart / 2));
        pause(MAX_HEAD_PAUSE_MILLIS);
        connection.send(text.substring(bodyStart / 2, bodyStart));
        pause(MAX_BODY_PAUSE_MILLIS);
        connection.send(text.substring(bodyStart, bodyMiddle));
        pause(MAX_BODY_PAUSE_MILLIS);
        connection.send(text.substring(bodyMiddle));
    }

    // Answers

    private boolean read(RawCaller connection, SoakRequest request) {
        boolean isOpen;
        mCloseAnnounced = false;
        try {
            Response response = connection.readResponse();
            mCloseAnnounced = "close".equals(response.headers().get("connection"));
            boolean complete = response.isComplete() && hasExpectedBody(request, response);
            request.recordAnswer(response.status(), complete);
            isOpen = complete && !mCloseAnnounced;
        } catch (IOException e) {
            // The connection ended without an answer; the request stays unanswered.
            isOpen = false;
        }
        request.recordEnd(mTicker.readMillis());
        return isOpen;
    }

    /** Returns whether an answer of a target has all its parts and belongs to the request. */
    private static boolean hasExpectedBody(SoakRequest request, Response response) {
        if (response.status() != 200) {
            return true;
        }
        String lastEvent = "data: token " + TargetStandIn.EVENT_COUNT + "\n\n";
        return response.body().endsWith(lastEvent)
                || response.body().trim().equals("answer to " + request.id());
    }
}
