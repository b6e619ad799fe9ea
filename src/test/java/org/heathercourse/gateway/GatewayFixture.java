package org.heathercourse.gateway;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;

/**
 * A gateway in front of the targets of a hosted deployment, and a caller that opens a connection
 * for each request and numbers the requests.
 */
final class GatewayFixture implements AutoCloseable {
    static final Duration MAX_WAIT = Duration.ofSeconds(12);

    /** Header of a request without a body. */
    static final String EMPTY_BODY = "Content-Length: 0\r\n";

    private final HostedDeployment mDeployment = new HostedDeployment();
    private Settings mSettings;
    private int mRequestCount;

    /** Starts the gateway and waits until it has read the configuration. */
    void startGateway() {
        mSettings = mDeployment.addGateway("vm-1");
        await().atMost(MAX_WAIT)
                .ignoreExceptions()
                .until(() -> call("GET /read/1", "").status() != 503);
    }

    /** Starts the gateway and waits until it serves requests to all targets. */
    GatewayFixture start() {
        startGateway();
        await().atMost(MAX_WAIT).until(() -> call("GET /read/1", "").status() == 200);
        await().atMost(MAX_WAIT).until(() -> stream().status() == 200);
        return this;
    }

    HostedDeployment deployment() {
        return mDeployment;
    }

    List<TargetStandIn> engines() {
        return List.of(mDeployment.engineA(), mDeployment.engineB());
    }

    TargetStandIn plain() {
        return mDeployment.plain();
    }

    /** Removes faults, received requests and changes of framing from all targets. */
    void resetTargets() {
        for (TargetStandIn target :
                List.of(mDeployment.engineA(), mDeployment.engineB(), mDeployment.plain())) {
            target.clearFaults();
            target.receivedRequests().clear();
            target.setUnframed(false);
        }
    }

    /** Sets for all targets whether their responses end with their connection. */
    void setUnframed(boolean unframed) {
        engines().forEach(engine -> engine.setUnframed(unframed));
        plain().setUnframed(unframed);
    }

    /** Enqueues faults at both engines, as either may be selected for the next stream. */
    void enqueueAtEngines(Fault... faults) {
        engines().forEach(engine -> engine.enqueueFaults(faults));
    }

    InetSocketAddress callerAddress() {
        return mSettings.endpoint(Setting.CALLER_ADDRESS);
    }

    /** Returns the identity of the last request. */
    String lastRequestId() {
        return "r" + mRequestCount;
    }

    /** Gives the next request the identity of the last one. */
    void repeatRequestId() {
        mRequestCount--;
    }

    /** Returns how often the targets have run the last request. */
    long runCount() {
        return List.of(mDeployment.engineA(), mDeployment.engineB(), mDeployment.plain()).stream()
                .flatMap(target -> target.executedRequests().stream())
                .filter(request -> request.id().equals(lastRequestId()))
                .count();
    }

    /** Sends a request of HTTP/1.1, given by method, path and further headers. */
    Response call(String methodAndPath, String headers) throws IOException {
        return call("HTTP/1.1", methodAndPath, headers);
    }

    Response call(String version, String methodAndPath, String headers) throws IOException {
        return call(
                callerAddress(),
                version,
                methodAndPath,
                "Api-Key: " + HostedDeployment.KEY + "\r\n" + headers);
    }

    /**
     * Sends a request without a key, unless the headers have one.
     *
     * @param gateway address of the gateway for callers
     */
    Response callWithoutKey(InetSocketAddress gateway, String methodAndPath, String headers)
            throws IOException {
        return call(gateway, "HTTP/1.1", methodAndPath, headers);
    }

    private Response call(
            InetSocketAddress gateway, String version, String methodAndPath, String headers)
            throws IOException {
        mRequestCount++;
        String request =
                String.format(
                        "%s %s\r\nHost: %s\r\n"
                                + "X-Heathercourse-Request-Id: %s\r\n"
                                + "X-Heathercourse-Request-Deadline: 2500\r\n%s\r\n",
                        methodAndPath, version, HostedDeployment.HOST, lastRequestId(), headers);
        try (RawCaller caller = new RawCaller(gateway)) {
            return caller.call(request);
        }
    }

    /** Writes the row of an engine with the given state, as the engine does itself. */
    void registerEngine(TargetStandIn engine, String state) {
        mDeployment.store().register(engine.id(), engine.row("engines", "zone-a", state));
    }

    /** Waits until the gateway has read that this number of targets accept new requests. */
    void awaitUsableTargets(int count) {
        await().atMost(MAX_WAIT).until(() -> metrics().contains("targets_usable " + count + "\n"));
    }

    /** Returns the text of the gateway's metrics. */
    String metrics() throws IOException {
        try (RawCaller caller = new RawCaller(mSettings.endpoint(Setting.METRICS_ADDRESS))) {
            return caller.call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body();
        }
    }

    /** Sends a request for a stream. */
    Response stream() throws IOException {
        return call("POST /stream/1", EMPTY_BODY);
    }

    /** Returns the body of a whole stream. */
    static String allEvents() {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= TargetStandIn.EVENT_COUNT; i++) {
            events.append("id: ").append(i).append("\ndata: token ").append(i).append("\n\n");
        }
        return events.toString();
    }

    @Override
    public void close() {
        mDeployment.close();
    }
}
