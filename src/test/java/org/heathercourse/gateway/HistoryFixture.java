package org.heathercourse.gateway;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.heathercourse.testing.hosted.TargetStandIn.ReceivedRequest;

/** Gateways with a route that retains histories, and a caller that sends turns. */
final class HistoryFixture implements AutoCloseable {
    static final Duration MAX_WAIT = Duration.ofSeconds(15);

    /** Table of the rows of turns. */
    static final String TURN_TABLE = "turn";

    /** Time in milliseconds that callers wait for a response. */
    static final long DEADLINE_MILLIS = 2_500;

    private final HostedDeployment mDeployment = new HostedDeployment();
    private final Map<Setting, String> mChanges = new HashMap<>();
    private Clock mClock = Clock.systemUTC();
    private int mGatewayCount;
    private int mRequestCount;

    /**
     * A turn to send.
     *
     * @param path path of the request
     * @param key key of a workspace
     * @param previous request id of the turn that it continues; null if there is none
     * @param input body, one byte for each character
     * @param isChunked whether the body is sent in chunks
     */
    record Turn(String path, String key, String previous, String input, boolean isChunked) {
        static Turn first(String input) {
            return after(null, input);
        }

        static Turn after(String previous, String input) {
            return new Turn("/kept/stream", HostedDeployment.KEY, previous, input, false);
        }

        Turn withPath(String path) {
            return new Turn(path, key, previous, input, isChunked);
        }

        Turn withKey(String key) {
            return new Turn(path, key, previous, input, isChunked);
        }

        Turn inChunks() {
            return new Turn(path, key, previous, input, true);
        }
    }

    /** Creates the deployment; a withdrawn key may be accepted as long as any test runs. */
    HistoryFixture() {
        mDeployment.retainHistories();
        mChanges.put(Setting.KEY_WITHDRAWAL_MS, "60000");
    }

    /** Changes a setting of the gateways that are added from now on. */
    HistoryFixture with(Setting setting, String value) {
        mChanges.put(setting, value);
        return this;
    }

    /** Changes the wall clock of the gateways that are added from now on. */
    HistoryFixture withClock(Clock clock) {
        mClock = clock;
        return this;
    }

    /** Starts gateways and waits until each of them serves turns. */
    HistoryFixture addGateways(int count) {
        return addGateways(count, store());
    }

    /** Starts gateways that connect to a port of the store, and waits until they serve turns. */
    HistoryFixture addGateways(int count, StoreStandIn store) {
        int first = mDeployment.gateways().size();
        for (int i = 0; i < count; i++) {
            mDeployment.addGateway("vm-" + ++mGatewayCount, store, mChanges, mClock);
        }
        for (int i = 0; i < count; i++) {
            int gateway = first + i;
            await().atMost(MAX_WAIT)
                    .ignoreExceptions()
                    .until(() -> call(gateway, Turn.first("warm")).status() == 200);
        }
        resetTargets();
        return this;
    }

    HostedDeployment deployment() {
        return mDeployment;
    }

    StoreStandIn store() {
        return mDeployment.store();
    }

    Gateway gateway(int index) {
        return mDeployment.gateways().get(index);
    }

    /** Returns the text of a gateway's metrics. */
    String metrics(int gateway) throws IOException {
        InetSocketAddress address = mDeployment.settings(gateway).endpoint(Setting.METRICS_ADDRESS);
        try (RawCaller caller = new RawCaller(address)) {
            return caller.call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body();
        }
    }

    private List<TargetStandIn> engines() {
        return List.of(mDeployment.engineA(), mDeployment.engineB());
    }

    void resetTargets() {
        engines()
                .forEach(
                        engine -> {
                            engine.clearFaults();
                            engine.receivedRequests().clear();
                            engine.setEventFormat("data: token %d\n");
                            engine.setEventIntervalMillis(0);
                            engine.setUnframed(false);
                        });
    }

    /** Makes responses end with their connections. */
    void setUnframed() {
        engines().forEach(engine -> engine.setUnframed(true));
    }

    void enqueueAtEngines(Fault... faults) {
        engines().forEach(engine -> engine.enqueueFaults(faults));
    }

    void setEventFormat(String format) {
        engines().forEach(engine -> engine.setEventFormat(format));
    }

    void setEventIntervalMillis(long millis) {
        engines().forEach(engine -> engine.setEventIntervalMillis(millis));
    }

    // Turns

    /** Returns the request id of the last turn. */
    String lastId() {
        return "turn-" + mRequestCount;
    }

    /** Gives the next turn the request id of the last one. */
    void repeatId() {
        mRequestCount--;
    }

    RawCaller connect(int gateway) throws IOException {
        return new RawCaller(mDeployment.settings(gateway).endpoint(Setting.CALLER_ADDRESS));
    }

    Response call(int gateway, Turn turn) throws IOException {
        try (RawCaller caller = connect(gateway)) {
            return caller.call(request(turn));
        }
    }

    /** Sends a turn of whose stream the caller has the events up to one with an id. */
    Response resume(int gateway, String lastEventId, Turn turn) throws IOException {
        String request =
                request(turn)
                        .replaceFirst(
                                "\r\nContent-Length",
                                "\r\nLast-Event-Id: " + lastEventId + "\r\nContent-Length");
        try (RawCaller caller = connect(gateway)) {
            return caller.call(request);
        }
    }

    /** Sends a turn whose response must be complete; returns its request id. */
    String runTurn(int gateway, Turn turn) throws IOException {
        Response response = call(gateway, turn);
        if (response.status() != 200 || !response.isComplete()) {
            throw new AssertionError("turn " + lastId() + " has response " + response);
        }
        return lastId();
    }

    /** Returns the next request for a turn. */
    String request(Turn turn) {
        mRequestCount++;
        StringBuilder request = new StringBuilder();
        request.append(
                String.format(
                        "POST %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n"
                                + "X-Heathercourse-Request-Id: %s\r\n"
                                + "X-Heathercourse-Request-Deadline: %d\r\n",
                        turn.path(), HostedDeployment.HOST, turn.key(), lastId(), DEADLINE_MILLIS));
        if (turn.previous() != null) {
            request.append("X-Heathercourse-Previous-Turn: ")
                    .append(turn.previous())
                    .append("\r\n");
        }
        int length = turn.input().length();
        if (turn.isChunked()) {
            request.append("Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < length; i += 3) {
                String chunk = turn.input().substring(i, Math.min(length, i + 3));
                request.append(chunk.length()).append("\r\n").append(chunk).append("\r\n");
            }
            request.append("0\r\n\r\n");
        } else {
            request.append("Content-Length: ").append(length).append("\r\n\r\n");
            request.append(turn.input());
        }
        return request.toString();
    }

    // Targets

    /** Returns the requests with an id that targets have received, with all attempts. */
    List<ReceivedRequest> received(String id) {
        List<ReceivedRequest> received = new ArrayList<>();
        for (TargetStandIn engine : engines()) {
            engine.receivedRequests().stream()
                    .filter(request -> request.id().equals(id))
                    .forEach(received::add);
        }
        return received;
    }

    /** Returns the body of a request that one target has received once. */
    String receivedBody(String id) {
        List<ReceivedRequest> received = received(id);
        if (received.size() != 1) {
            throw new AssertionError("request " + id + " was received " + received.size());
        }
        return body(received.get(0));
    }

    /** Returns a received body, one character for each byte. */
    static String body(ReceivedRequest request) {
        return new String(request.bodyBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Returns the output of a whole turn. */
    static String output() {
        StringBuilder output = new StringBuilder();
        for (int i = 1; i <= TargetStandIn.EVENT_COUNT; i++) {
            output.append("token ").append(i).append('\n');
        }
        return output.toString();
    }

    @Override
    public void close() {
        mDeployment.close();
    }
}
