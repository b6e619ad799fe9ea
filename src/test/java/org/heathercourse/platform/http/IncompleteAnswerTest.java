package org.heathercourse.platform.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetException;
import org.heathercourse.platform.Transaction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against answers that end with their connection and were cut: an empty one must not read as
 * an empty table, a transaction without effect or an idle engine, nor a part as the whole.
 */
class IncompleteAnswerTest {
    private static final String EMPTY = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String EVENTS = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

    private final HttpTransport mTransport = new HttpTransport(HttpSettings.builder().build());
    private ScriptedHttpServer mServer;

    @AfterEach
    void stop() {
        mTransport.close();
        mServer.close();
    }

    private void serve(String answer) {
        if (mServer != null) {
            mServer.close();
        }
        mServer = new ScriptedHttpServer(false, number -> answer);
    }

    private TargetAddress target() {
        return new TargetAddress(new TargetId("t"), mServer.baseUrl());
    }

    private static void assertOutcomeUnknown(ThrowingCallable call) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        StoreException.class, e -> assertThat(e.outcomeUnknown()).isTrue());
    }

    @Test
    void emptyAnswerOfTableServiceIsNotAnEmptyTable() {
        serve(EMPTY);
        HttpTableStore store = new HttpTableStore(mTransport, mServer.baseUrl());
        assertOutcomeUnknown(() -> store.scan("a", "", 10));
        assertOutcomeUnknown(() -> store.read("a"));
        assertOutcomeUnknown(() -> store.commit(Transaction.builder("c1").build()));
    }

    @Test
    void emptyListOfVmsDoesNotRemoveThem() {
        serve(EMPTY);
        assertOutcomeUnknown(new HttpVmList(mTransport, mServer.baseUrl())::list);
    }

    @Test
    void objectWhoseEndIsNotProvenIsNotRead() {
        serve(EMPTY + "half an obj");
        HttpObjectStore cut = new HttpObjectStore(mTransport, mServer.baseUrl());
        assertOutcomeUnknown(() -> cut.get("name"));
        serve("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        HttpObjectStore store = new HttpObjectStore(mTransport, mServer.baseUrl());
        assertThat(store.get("name")).hasValue("whole".getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void emptyReportOfEngineIsNotAnIdleEngine() {
        serve(EMPTY);
        HttpEngineClient engines = new HttpEngineClient(mTransport);
        assertThatThrownBy(() -> engines.load(target())).isInstanceOf(TargetException.class);
        assertThatThrownBy(() -> engines.sessions(target())).isInstanceOf(TargetException.class);
        engines.release(target(), "s");
    }

    private String readPlainBody(String answer) throws IOException {
        serve(answer);
        return receivePlainBody();
    }

    private String receivePlainBody() throws IOException {
        PlainClient.Request request =
                new PlainClient.Request("GET", "/x", Map.of(), null, 0, 2_000);
        try (PlainClient.Response response =
                new HttpPlainClient(mTransport).send(target(), request)) {
            return new String(response.body().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void streamOfPlainServiceThatEndsInsideEventIsBroken() throws IOException {
        for (String end : List.of("id: 2\nda", "id: 2\ndata: b\n")) {
            assertThatThrownBy(() -> readPlainBody(EVENTS + "\r\nid: 1\ndata: a\n\n" + end))
                    .as(end)
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("inside an event");
        }
        String whole = "id: 1\r\ndata: a\r\n\r\n: comment\n";
        assertThat(readPlainBody(EVENTS + "\r\n" + whole)).isEqualTo(whole);
        assertThat(readPlainBody("HTTP/1.1 200 OK\r\n\r\ntext")).isEqualTo("text");
    }

    /**
     * The end of a process closes its connections in order, so that a body without a length looks
     * whole; only the port tells.
     */
    @Test
    void bodyOfPlainServiceWhoseProcessEndsIsBroken() throws IOException {
        for (String head : List.of(EMPTY, EVENTS + "\r\n")) {
            mServer =
                    new ScriptedHttpServer(
                            false,
                            number -> {
                                mServer.close();
                                return head + "id: 1\ndata: a\n\n";
                            });
            assertThatThrownBy(this::receivePlainBody)
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("accepts no other");
        }
    }

    /**
     * Guards against a head that ends with its connection and is taken for a whole answer without a
     * body, at each byte and in each framing; with chunks also in the size of the first one.
     */
    @Test
    void answerOfPlainServiceCutInItsHeadIsBroken() {
        String head = "HTTP/1.1 200 OK\r\nX-Extra: value\r\n";
        for (String answer :
                List.of(
                        head + "Content-Length: 12\r\n\r\n",
                        head + "\r\n",
                        head + "Transfer-Encoding: chunked\r\n\r\n1f;x=y\r\n")) {
            for (int length = 0; length < answer.length(); length++) {
                String cut = answer.substring(0, length);
                assertThatThrownBy(() -> readPlainBody(cut))
                        .as(cut)
                        .isInstanceOfAny(TargetException.class, IOException.class);
            }
        }
    }
}
