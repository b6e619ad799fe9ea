package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a gateway that lets callers in because a version of the configuration leaves no
 * key, or none that can be read.
 */
class WithdrawnKeysTest {
    private static final String KEY_HEADER = "Api-Key: " + HostedDeployment.KEY + "\r\n";

    private static final GatewayFixture FIXTURE = new GatewayFixture();

    /** Version of the configuration that was written last. */
    private static int sVersion = 1;

    @BeforeAll
    static void start() {
        FIXTURE.start();
    }

    @AfterAll
    static void stop() {
        FIXTURE.close();
    }

    @BeforeEach
    void declareOneKey() {
        FIXTURE.deployment().configure(HostedDeployment.KEY, 1_000);
        awaitNextConfiguration();
    }

    private static void configureWorkspaces(String workspaces) {
        FIXTURE.deployment().configureWorkspaces(workspaces);
        awaitNextConfiguration();
    }

    private static void awaitNextConfiguration() {
        sVersion++;
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(
                        () ->
                                FIXTURE.metrics()
                                        .contains("configuration_version " + sVersion + "\n"));
    }

    private static int status(InetSocketAddress gateway, String path, String headers)
            throws IOException {
        return FIXTURE.callWithoutKey(gateway, path, headers).status();
    }

    private static void assertOnlyPublicRoutesAreServed(InetSocketAddress gateway)
            throws IOException {
        FIXTURE.resetTargets();
        for (String headers : new String[] {KEY_HEADER, "", "Api-Key: \r\n", "Api-Key: null\r\n"}) {
            assertThat(status(gateway, "GET /read/1", headers)).as(headers).isEqualTo(401);
            assertThat(status(gateway, "POST /order/1", headers + GatewayFixture.EMPTY_BODY))
                    .as(headers)
                    .isEqualTo(401);
            assertThat(status(gateway, "POST /stream/1", headers + GatewayFixture.EMPTY_BODY))
                    .as(headers)
                    .isEqualTo(401);
        }
        assertThat(FIXTURE.plain().receivedRequests()).isEmpty();
        assertThat(FIXTURE.engines()).allMatch(engine -> engine.receivedRequests().isEmpty());
        assertThat(status(gateway, "GET /open/1", "")).isEqualTo(200);
    }

    /** Guards against a withdrawn last key that goes on working, and opens all routes besides. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "[]",
                "{}",
                "null",
                "\"mill\"",
                "0",
                "[null]",
                "[{\"name\":\"mill\"}]",
                "[{\"name\":\"mill\",\"api_keys\":[]}]",
                "[{\"name\":\"mill\",\"api_keys\":[null,\"\"]}]",
                "[{\"name\":\"mill\",\"api_keys\":{\"a\":\"key-1\"}}]",
                "[{\"api_keys\":[\"key-1\"]}]"
            })
    void configurationWithoutAnyKeyLetsNobodyIn(String workspaces) throws IOException {
        configureWorkspaces(workspaces);
        assertOnlyPublicRoutesAreServed(FIXTURE.callerAddress());
    }

    /**
     * Guards against a gateway that has known no other version and takes an empty list for none.
     */
    @Test
    void gatewayThatStartsWithoutAnyKeyLetsNobodyIn() throws IOException {
        configureWorkspaces("[]");
        InetSocketAddress started =
                FIXTURE.deployment().addGateway("vm-2").endpoint(Setting.CALLER_ADDRESS);
        await().atMost(GatewayFixture.MAX_WAIT)
                .ignoreExceptions()
                .until(() -> status(started, "GET /open/1", "") == 200);
        assertOnlyPublicRoutesAreServed(started);
    }

    /** Guards against a key that stays refused after the operator has given it out again. */
    @Test
    void keyThatComesBackIsAccepted() throws IOException {
        configureWorkspaces("[]");
        declareOneKey();
        assertThat(FIXTURE.call("GET /read/1", "").status()).isEqualTo(200);
    }

    /** Guards against refusals where the operator declares no workspaces at all. */
    @Test
    void configurationWithoutWorkspacesNeedsNoKey() throws IOException {
        FIXTURE.deployment().configureWithoutWorkspaces();
        awaitNextConfiguration();
        assertThat(status(FIXTURE.callerAddress(), "GET /read/1", "")).isEqualTo(200);
    }
}
