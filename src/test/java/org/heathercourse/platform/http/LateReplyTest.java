package org.heathercourse.platform.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetException;
import org.heathercourse.platform.Transaction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a second reply, whole, cut or late, that a client takes for the reply to its next
 * request, such as a commit that is believed although it was refused.
 */
class LateReplyTest {
    private static final int READ_TIMEOUT_MILLIS = 500;
    private static final int PLAIN_TIMEOUT_MILLIS = 1_000;

    private final HttpTransport mTransport =
            new HttpTransport(
                    HttpSettings.builder().readTimeoutMillis(READ_TIMEOUT_MILLIS).build());

    /** The calls of each client that reads replies of stores or targets. */
    private enum Operation {
        TABLE_READ("{\"key\":\"k\",\"version\":%d,\"commit_id\":\"c\",\"value\":\"\"}") {
            @Override
            long call(HttpTransport transport, String url) {
                return new HttpTableStore(transport, url).read("k").orElseThrow().version();
            }
        },
        TABLE_SCAN("{\"rows\":[{\"key\":\"k\",\"version\":%d,\"commit_id\":\"c\"}]}") {
            @Override
            long call(HttpTransport transport, String url) {
                return new HttpTableStore(transport, url).scan("k", "", 1).get(0).version();
            }
        },
        TABLE_COMMIT(
                "{\"committed\":true,\"rows\":[{\"key\":\"k\",\"version\":%d,"
                        + "\"commit_id\":\"c\"}]}") {
            @Override
            long call(HttpTransport transport, String url) {
                Transaction transaction = Transaction.builder("c").build();
                return new HttpTableStore(transport, url)
                        .commit(transaction)
                        .rows()
                        .get(0)
                        .version();
            }
        },
        OBJECT_GET("%d") {
            @Override
            long call(HttpTransport transport, String url) {
                byte[] content = new HttpObjectStore(transport, url).get("n").orElseThrow();
                return Long.parseLong(new String(content, StandardCharsets.US_ASCII));
            }
        },
        OBJECT_LIST("{\"names\":[\"%d\"]}") {
            @Override
            long call(HttpTransport transport, String url) {
                return Long.parseLong(new HttpObjectStore(transport, url).list("").get(0));
            }
        },
        VM_LIST(
                "{\"vms\":[{\"vm\":\"v\",\"incarnation\":%d,\"zone\":\"z\","
                        + "\"state\":\"live\"}]}") {
            @Override
            long call(HttpTransport transport, String url) {
                return new HttpVmList(transport, url).list().get(0).incarnation();
            }
        },
        WEIGHTS("{\"bytes_per_second\":%d,\"active_fetches\":0}") {
            @Override
            long call(HttpTransport transport, String url) {
                return new HttpWeightStore(transport, url).status().bytesPerSecond();
            }
        },
        ENGINE_LOAD("{\"running\":%d}") {
            @Override
            long call(HttpTransport transport, String url) {
                return engines(transport).load(target(url)).running();
            }
        },
        ENGINE_CACHE_EVENTS("{\"events\":[{\"sequence\":%d,\"session\":\"s\"}]}") {
            @Override
            long call(HttpTransport transport, String url) {
                return engines(transport).cacheEvents(target(url), 0).get(0).sequence();
            }
        },
        ENGINE_SESSIONS("{\"sessions\":[\"%d\"]}") {
            @Override
            long call(HttpTransport transport, String url) {
                return Long.parseLong(engines(transport).sessions(target(url)).get(0));
            }
        },
        PLAIN("%d") {
            @Override
            long call(HttpTransport transport, String url) throws Exception {
                PlainClient.Request request =
                        new PlainClient.Request(
                                "POST", "/x", Map.of(), null, 0, PLAIN_TIMEOUT_MILLIS);
                try (PlainClient.Response response =
                        new HttpPlainClient(transport).send(target(url), request)) {
                    if (response.status() != 200) {
                        throw new StatusException();
                    }
                    byte[] body = response.body().readAllBytes();
                    return Long.parseLong(new String(body, StandardCharsets.US_ASCII));
                }
            }
        };

        private final String mBodyFormat;

        Operation(String bodyFormat) {
            mBodyFormat = bodyFormat;
        }

        /** Sends a request and returns the number in the reply. */
        abstract long call(HttpTransport transport, String url) throws Exception;

        String success(int number) {
            return reply("200 OK", String.format(mBodyFormat, number));
        }

        /** A failure whose body would be valid in a success. */
        String failure(int number) {
            return reply("500 Failed", String.format(mBodyFormat, number));
        }

        private static EngineClient engines(HttpTransport transport) {
            return new HttpEngineClient(transport);
        }

        private static TargetAddress target(String url) {
            return new TargetAddress(new TargetId("t"), url);
        }
    }

    /** A plain service answered with a failure. */
    private static final class StatusException extends Exception {
        private static final long serialVersionUID = 1;
    }

    @AfterEach
    void stop() {
        mTransport.close();
    }

    private static String reply(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static ScriptedHttpServer serve(IntFunction<String> replies) {
        return new ScriptedHttpServer(true, replies);
    }

    private void assertFails(Operation operation, String url, String description) {
        assertThatThrownBy(() -> operation.call(mTransport, url))
                .as(description)
                .isInstanceOfAny(
                        StoreException.class, TargetException.class, StatusException.class);
    }

    /** Each call gets its reply although a whole copy of the one before has come. */
    @ParameterizedTest
    @EnumSource(Operation.class)
    void wholeSecondReplyIsNotTakenForNextReply(Operation operation) throws Exception {
        try (ScriptedHttpServer server = serve(n -> operation.success(n).repeat(2))) {
            for (int number = 1; number <= 3; number++) {
                assertThat(operation.call(mTransport, server.baseUrl())).isEqualTo(number);
            }
        }
    }

    /** A failure stays a failure after a copy of the success before it, cut at each byte. */
    @ParameterizedTest
    @EnumSource(Operation.class)
    void cutSecondReplyDoesNotTurnFailureIntoSuccess(Operation operation) throws Exception {
        String copy = operation.success(1);
        for (int length = 1; length <= copy.length(); length++) {
            String part = copy.substring(0, length);
            try (ScriptedHttpServer server =
                    serve(n -> n == 1 ? copy + part : operation.failure(2))) {
                assertThat(operation.call(mTransport, server.baseUrl())).isEqualTo(1);
                assertFails(operation, server.baseUrl(), part);
            }
        }
    }

    /** A reply that comes after the timeout of its request is not taken for the next one. */
    @ParameterizedTest
    @EnumSource(Operation.class)
    void replyAfterTimeoutIsNotTakenForNextReply(Operation operation) throws Exception {
        CountDownLatch timedOut = new CountDownLatch(1);
        try (ScriptedHttpServer server =
                serve(
                        number -> {
                            if (number == 1) {
                                await(timedOut);
                            }
                            return operation.success(number);
                        })) {
            assertFails(operation, server.baseUrl(), "no reply in time");
            timedOut.countDown();
            assertThat(operation.call(mTransport, server.baseUrl())).isEqualTo(2);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
