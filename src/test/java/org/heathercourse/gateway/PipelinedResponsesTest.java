package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.heathercourse.gateway.RawCaller.Response;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against responses on one caller connection that are mixed with those beside them. */
class PipelinedResponsesTest {
    private static final String BODY = "Content-Length: 4\r\n";

    private static GatewayFixture sFixture;

    @BeforeAll
    static void start() {
        sFixture = new GatewayFixture().start();
    }

    @AfterAll
    static void stop() {
        sFixture.close();
    }

    @BeforeEach
    void reset() {
        sFixture.resetTargets();
    }

    private static String request(String methodAndPath, String id, String headers) {
        return String.format(
                "%s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n"
                        + "X-Heathercourse-Request-Id: %s\r\n%s\r\n",
                methodAndPath, HostedDeployment.HOST, HostedDeployment.KEY, id, headers);
    }

    private static void assertResponse(Response response, int status, String id) {
        assertThat(response.status()).isEqualTo(status);
        assertThat(response.headers()).containsEntry("x-heathercourse-request-id", id);
        assertThat(response.isComplete()).isTrue();
    }

    /** Guards against a response without its body, for which the next response is then read. */
    @Test
    void interimResponseDoesNotMoveTheHeadMethodToAnotherResponse() throws IOException {
        try (RawCaller caller = new RawCaller(sFixture.callerAddress())) {
            caller.send(
                    request(
                                    "POST /order/1?answer_delay_ms=50",
                                    "p1",
                                    BODY + "Expect: 100-continue\r\n")
                            + "body"
                            + request("HEAD /read/2", "p2", "")
                            + request("GET /read/3", "p3", ""));
            assertThat(caller.readResponse().status()).isEqualTo(100);
            Response first = caller.readResponse();
            assertResponse(first, 200, "p1");
            assertThat(first.body()).isNotEmpty().doesNotContain("HTTP/1.1");
            assertResponse(readHead(caller), 200, "p2");
            Response third = caller.readResponse();
            assertResponse(third, 200, "p3");
            assertThat(third.body()).isNotEmpty();
        }
    }

    /** Reads a response that ends with its head, whatever length the head gives. */
    private static Response readHead(RawCaller caller) throws IOException {
        int status = Integer.parseInt(caller.readLine().split(" ")[1]);
        Map<String, String> headers = new HashMap<>();
        for (String line = caller.readLine(); !line.isEmpty(); line = caller.readLine()) {
            String[] header = line.split(":", 2);
            headers.put(header[0].toLowerCase(Locale.ROOT), header[1].trim());
        }
        return new Response(status, headers, "");
    }

    /** Guards against statuses, ids and bodies that go to another request of the connection. */
    @Test
    void eachPipelinedRequestGetsItsOwnStatusAndBody() throws IOException {
        sFixture.plain().enqueueFaults(Fault.FAIL, Fault.NONE, Fault.NO_CONTENT, Fault.FAIL);
        try (RawCaller caller = new RawCaller(sFixture.callerAddress())) {
            caller.send(
                    request("POST /order/1", "s1", BODY)
                            + "body"
                            + request("GET /read/2", "s2", "")
                            + request("GET /read/3", "s3", "")
                            + request("POST /order/4", "s4", BODY)
                            + "body"
                            + request("GET /read/5", "s5", ""));
            Response first = caller.readResponse();
            assertResponse(first, 500, "s1");
            assertThat(first.body()).isEqualTo("failed");
            assertResponse(caller.readResponse(), 200, "s2");
            assertResponse(readHead(caller), 204, "s3");
            Response fourth = caller.readResponse();
            assertResponse(fourth, 500, "s4");
            assertThat(fourth.body()).isEqualTo("failed");
            assertResponse(caller.readResponse(), 200, "s5");
        }
    }

    /** Guards against the head of a failed attempt before the body of the next attempt. */
    @Test
    void failedAttemptLeavesNothingInTheResponse() throws IOException {
        sFixture.plain().enqueueFaults(Fault.SHORT_BODY, Fault.FAIL);
        Response response = sFixture.call("GET /read/1", "");
        assertThat(response.status()).isEqualTo(500);
        assertThat(response.body()).isEqualTo("failed");
    }
}
