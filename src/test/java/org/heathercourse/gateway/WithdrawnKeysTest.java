package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.junit.jupiter.api.AfterEach;
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

    private final GatewayFixture mFixture = new GatewayFixture();

    @BeforeEach
    void start() {
        mFixture.start();
    }

    @AfterEach
    void stop() {
        mFixture.close();
    }

    private int status(InetSocketAddress gateway, String path, String headers) throws IOException {
        return mFixture.callWithoutKey(gateway, path, headers).status();
    }

    private void awaitConfiguration(int version) {
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> mFixture.metrics().contains("configuration_version " + version));
    }

    private void assertOnlyPublicRoutesAreServed(InetSocketAddress gateway) throws IOException {
        mFixture.resetTargets();
        for (String headers : new String[] {KEY_HEADER, "", "Api-Key: \r\n", "Api-Key: null\r\n"}) {
            assertThat(status(gateway, "GET /read/1", headers)).as(headers).isEqualTo(401);
            assertThat(status(gateway, "POST /order/1", headers + GatewayFixture.EMPTY_BODY))
                    .as(headers)
                    .isEqualTo(401);
            assertThat(status(gateway, "POST /stream/1", headers + GatewayFixture.EMPTY_BODY))
                    .as(headers)
                    .isEqualTo(401);
        }
        assertThat(mFixture.plain().receivedRequests()).isEmpty();
        assertThat(mFixture.engines()).allMatch(engine -> engine.receivedRequests().isEmpty());
        assertThat(status(gateway, "GET /open/1", "")).isEqualTo(200);
    }

    /** Guards against a withdrawn last key that goes on working, and opens all routes besides. */
    @ParameterizedTest
    @ValueSource(strings = {"[]", "{}", "null", "\"mill\"", "0", "[null]"})
    void configurationWithoutAnyKeyLetsNobodyIn(String workspaces) throws IOException {
        mFixture.deployment().configureWorkspaces(workspaces);
        awaitConfiguration(2);
        assertOnlyPublicRoutesAreServed(mFixture.callerAddress());
    }

    /**
     * Guards against a gateway that has known no other version and takes an empty list for none.
     */
    @Test
    void gatewayThatStartsWithoutAnyKeyLetsNobodyIn() throws IOException {
        mFixture.deployment().configureWorkspaces("[]");
        InetSocketAddress started =
                mFixture.deployment().addGateway("vm-2").endpoint(Setting.CALLER_ADDRESS);
        await().atMost(GatewayFixture.MAX_WAIT)
                .ignoreExceptions()
                .until(() -> status(started, "GET /open/1", "") == 200);
        assertOnlyPublicRoutesAreServed(started);
    }

    /** Guards against a key that stays refused after the operator has given it out again. */
    @Test
    void keyThatComesBackIsAccepted() throws IOException {
        mFixture.deployment().configureWorkspaces("[]");
        awaitConfiguration(2);
        mFixture.deployment().configure(HostedDeployment.KEY, 1_000);
        awaitConfiguration(3);
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> mFixture.call("GET /read/1", "").status() == 200);
    }

    /** Guards against refusals where the operator declares no workspaces at all. */
    @Test
    void configurationWithoutWorkspacesNeedsNoKey() throws IOException {
        mFixture.deployment().configureWithoutWorkspaces();
        awaitConfiguration(2);
        assertThat(status(mFixture.callerAddress(), "GET /read/1", "")).isEqualTo(200);
    }
}
