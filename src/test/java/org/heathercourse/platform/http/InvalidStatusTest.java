package org.heathercourse.platform.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetException;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.platform.Transaction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a target in trouble whose answer has a status that HTTP does not have, such as
 * 000, and counts as a success or reaches a caller.
 */
class InvalidStatusTest {
    private static final String BODY = "{\"committed\":true}";

    private final HttpTransport mTransport = new HttpTransport(HttpSettings.builder().build());

    @AfterEach
    void stop() {
        mTransport.close();
    }

    private static ScriptedHttpServer serverOf(String status) {
        String answer =
                "HTTP/1.1 " + status + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
        return new ScriptedHttpServer(false, n -> answer);
    }

    private static TargetAddress target(ScriptedHttpServer server) {
        return new TargetAddress(new TargetId("t"), server.baseUrl());
    }

    @ParameterizedTest
    @ValueSource(strings = {"000 X", "000", "001 X", "099 X", "600 X", "999 X", "-01 X", "+00 X"})
    void orderIsNotTakenForAccepted(String status) {
        try (ScriptedHttpServer server = serverOf(status)) {
            EngineClient engines = new HttpEngineClient(mTransport);
            assertThatThrownBy(
                            () ->
                                    engines.order(
                                            target(server), new EngineClient.Order("k", "s", 1)))
                    .isInstanceOfSatisfying(
                            TargetException.class,
                            e ->
                                    assertThat(e.failure().kind())
                                            .as("the target may have done it")
                                            .isEqualTo(TargetFailure.Kind.BROKEN));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"000 X", "000", "001 X", "099 X", "600 X", "999 X", "-01 X", "+00 X"})
    void plainResponseDoesNotReachTheCaller(String status) {
        PlainClient.Request request =
                new PlainClient.Request("POST", "/x", Map.of(), null, 0, 5_000);
        try (ScriptedHttpServer server = serverOf(status)) {
            assertThatThrownBy(() -> new HttpPlainClient(mTransport).send(target(server), request))
                    .isInstanceOf(TargetException.class);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"000 X", "099 X", "600 X", "-01 X"})
    void commitIsNotTakenForWritten(String status) {
        try (ScriptedHttpServer server = serverOf(status)) {
            HttpTableStore store = new HttpTableStore(mTransport, server.baseUrl());
            assertThatThrownBy(() -> store.commit(Transaction.builder("c").build()))
                    .isInstanceOf(StoreException.class);
        }
    }
}
