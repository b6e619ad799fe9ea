package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import org.heathercourse.core.routing.CallerLimits;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are refused on open connections although the configuration in force
 * allows them: a connection kept the limits of the time at which it was opened.
 */
class ChangedLimitsTest {
    private static final int MAX_HEADER_BYTES = 6_000;
    private static final int MAX_BODY_BYTES = 10_000;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final CallerLimits LIMITS =
            new CallerLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    private static final CallerLimits RAISED =
            new CallerLimits(
                    MAX_HEADER_BYTES * 3,
                    MAX_BODY_BYTES * 3,
                    TIMEOUT_MILLIS * 5,
                    TIMEOUT_MILLIS * 5);

    private static GatewayFixture sFixture;
    private static int sRequestCount;

    private RawCaller mOpenCaller;

    @BeforeAll
    static void start() {
        sFixture = new GatewayFixture().start();
    }

    @AfterAll
    static void stop() {
        sFixture.close();
    }

    @BeforeEach
    void open() throws IOException {
        awaitInitialLimits();
        mOpenCaller = new RawCaller(sFixture.callerAddress());
    }

    @AfterEach
    void close() throws IOException {
        mOpenCaller.close();
    }

    private static void configure(CallerLimits limits) {
        sFixture.deployment().configure(HostedDeployment.KEY, 1_000, limits);
    }

    private String request(String path, int headerBytes, int bodyBytes) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: "
                + HostedDeployment.HOST
                + "\r\nApi-Key: "
                + HostedDeployment.KEY
                + "\r\nX-Heathercourse-Request-Id: limits-"
                + ++sRequestCount
                + "\r\nX-Long: "
                + "h".repeat(headerBytes)
                + "\r\nContent-Length: "
                + bodyBytes
                + "\r\n\r\n"
                + "b".repeat(bodyBytes);
    }

    /** Returns the status of a request over a new connection. */
    private int newStatus(String request) throws IOException {
        try (RawCaller caller = new RawCaller(sFixture.callerAddress())) {
            return caller.call(request).status();
        }
    }

    private void awaitInitialLimits() {
        configure(LIMITS);
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> newStatus(request("/order/1", MAX_HEADER_BYTES * 2, 0)) == 431);
    }

    private void awaitRaisedLimits() {
        configure(RAISED);
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> newStatus(request("/order/1", 0, MAX_BODY_BYTES * 2)) == 200);
    }

    @Test
    void raisedLimitsHoldForOpenConnections() throws IOException {
        assertThat(mOpenCaller.call(request("/order/1", 0, 0)).status()).isEqualTo(200);
        awaitRaisedLimits();
        String longBody = request("/order/1", 0, MAX_BODY_BYTES * 2);
        assertThat(mOpenCaller.call(longBody).status()).isEqualTo(200);
        String longHead = request("/order/1", MAX_HEADER_BYTES * 2, 0);
        assertThat(mOpenCaller.call(longHead).status()).isEqualTo(200);
    }

    @Test
    void raisedIdleTimeoutHoldsForOpenConnections() throws Exception {
        assertThat(mOpenCaller.call(request("/order/1", 0, 0)).status()).isEqualTo(200);
        awaitRaisedLimits();
        Thread.sleep(TIMEOUT_MILLIS * 2);
        assertThat(mOpenCaller.call(request("/order/1", 0, 0)).status()).isEqualTo(200);
    }

    @Test
    void loweredLimitsHoldForOpenConnections() throws IOException {
        awaitRaisedLimits();
        assertThat(mOpenCaller.call(request("/order/1", 0, 0)).status()).isEqualTo(200);
        awaitInitialLimits();
        String longHead = request("/order/1", MAX_HEADER_BYTES * 2, 0);
        assertThat(mOpenCaller.call(longHead).status()).isEqualTo(431);
    }

    /** A request line was bounded by 8 KB, whatever the configuration allowed. */
    @Test
    void requestLineMayBeAsLongAsHeaders() throws IOException {
        awaitRaisedLimits();
        String path = "/order/" + "p".repeat(MAX_HEADER_BYTES * 2);
        assertThat(mOpenCaller.call(request(path, 0, 0)).status()).isEqualTo(200);
        String tooLong = "/order/" + "p".repeat(MAX_HEADER_BYTES * 3);
        assertThat(newStatus(request(tooLong, 0, 0))).isEqualTo(431);
    }

    /** The time for the first byte of a request to its last header follows the configuration. */
    @Test
    void raisedHeaderTimeoutHoldsForOpenConnections() throws Exception {
        assertThat(mOpenCaller.call(request("/order/1", 0, 0)).status()).isEqualTo(200);
        awaitRaisedLimits();
        String request = request("/order/1", 0, 0);
        mOpenCaller.send(request.substring(0, 20));
        Thread.sleep(TIMEOUT_MILLIS * 3 / 2);
        assertThat(mOpenCaller.call(request.substring(20)).status()).isEqualTo(200);
    }
}
