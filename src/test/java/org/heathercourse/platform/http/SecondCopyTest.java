package org.heathercourse.platform.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.TargetAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second copy of an answer or a refusal, late on a connection in use again, that
 * the next caller gets.
 */
class SecondCopyTest {
    private static final int REQUESTS = 5;

    /** Time in which the copy arrives, so that it waits on the connection for the next request. */
    private static final long REUSE_DELAY_MILLIS = 20;

    private final HttpTransport mTransport = new HttpTransport(HttpSettings.builder().build());

    @AfterEach
    void stop() {
        mTransport.close();
    }

    private static String answer(int number, boolean refused) {
        String body = "answer " + number;
        return (refused ? "HTTP/1.1 503 Busy" : "HTTP/1.1 200 OK")
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private void assertEachRequestGetsItsAnswer(boolean refused) throws Exception {
        try (ScriptedHttpServer server =
                new ScriptedHttpServer(
                        true, number -> answer(number, refused && number == 1).repeat(2))) {
            HttpPlainClient client = new HttpPlainClient(mTransport);
            TargetAddress target = new TargetAddress(new TargetId("t"), server.baseUrl());
            for (int i = 1; i <= REQUESTS; i++) {
                PlainClient.Request request =
                        new PlainClient.Request("POST", "/x", Map.of(), null, 0, 2_000);
                try (PlainClient.Response response = client.send(target, request)) {
                    String body =
                            new String(response.body().readAllBytes(), StandardCharsets.US_ASCII);
                    assertThat(body).isEqualTo("answer " + i);
                    assertThat(response.status()).isEqualTo(refused && i == 1 ? 503 : 200);
                }
                Thread.sleep(REUSE_DELAY_MILLIS);
            }
        }
    }

    @Test
    void secondCopyOfAnswerIsNotTakenForNextAnswer() throws Exception {
        assertEachRequestGetsItsAnswer(false);
    }

    @Test
    void secondCopyOfRefusalIsNotTakenForNextAnswer() throws Exception {
        assertEachRequestGetsItsAnswer(true);
    }
}
