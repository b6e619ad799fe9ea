package org.heathercourse.platform.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetException;
import org.heathercourse.platform.Transaction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a success whose head is cut and continued by the whole failure, read as one reply
 * with the status of the success.
 */
class MergedHeadTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nX-Extra: value\r\nContent-Length: 18\r\n\r\n";
    private static final String BODY = "{\"committed\":true}";
    private static final String FAILURE =
            "HTTP/1.1 500 Failed\r\nContent-Length: 18\r\n\r\n" + BODY;

    private final HttpTransport mTransport = new HttpTransport(HttpSettings.builder().build());

    @AfterEach
    void stop() {
        mTransport.close();
    }

    private String plainBody(String url) throws Exception {
        PlainClient.Request request =
                new PlainClient.Request("POST", "/x", Map.of(), null, 0, 5_000);
        TargetAddress target = new TargetAddress(new TargetId("t"), url);
        try (PlainClient.Response response =
                new HttpPlainClient(mTransport).send(target, request)) {
            byte[] body = response.body().readAllBytes();
            return response.status() + " " + new String(body, StandardCharsets.US_ASCII);
        }
    }

    @Test
    void plainFailureIsNotReadAsSuccess() throws Exception {
        for (int length = 1; length < HEAD.length(); length++) {
            String cut = HEAD.substring(0, length);
            try (ScriptedHttpServer server = new ScriptedHttpServer(false, n -> cut + FAILURE)) {
                assertThatThrownBy(() -> plainBody(server.baseUrl()))
                        .as(cut)
                        .isInstanceOf(TargetException.class);
            }
        }
    }

    @Test
    void failedCommitIsNotReadAsSuccess() {
        Transaction transaction = Transaction.builder("c").build();
        for (int length = 1; length < HEAD.length(); length++) {
            String cut = HEAD.substring(0, length);
            try (ScriptedHttpServer server = new ScriptedHttpServer(false, n -> cut + FAILURE)) {
                HttpTableStore store = new HttpTableStore(mTransport, server.baseUrl());
                assertThatThrownBy(() -> store.commit(transaction))
                        .as(cut)
                        .isInstanceOf(StoreException.class);
            }
        }
    }

    @Test
    void wholeRepliesAreRead() throws Exception {
        try (ScriptedHttpServer server = new ScriptedHttpServer(false, n -> HEAD + BODY)) {
            assertThat(plainBody(server.baseUrl())).isEqualTo("200 " + BODY);
        }
    }
}
