package org.heathercourse.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.CallAcceptor;
import org.heathercourse.daemon.call.CallFixture;
import org.heathercourse.daemon.call.CallRouter;
import org.heathercourse.daemon.call.ProgramOps;
import org.heathercourse.daemon.call.ProgramRouter;
import org.heathercourse.daemon.config.Authenticator;
import org.heathercourse.daemon.limits.RateLimiter;
import org.heathercourse.daemon.peer.NettyPeerNetwork;
import org.heathercourse.daemon.peer.PeerSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against the body of a caller's next request on a connection that is sent to a target as
 * the body of an ended request.
 */
class EndedRequestBodyTest {
    private static final int TIMEOUT_SECONDS = 10;

    /** Time in which the ended request would read bytes that are on the connection. */
    private static final long READ_DELAY_MILLIS = 500;

    private static final String KEY = "k.secret";

    private final CallFixture mFixture = new CallFixture();
    private NettyPeerNetwork mNetwork;
    private CallerServer mServer;
    private int mPort;

    private final Authenticator mWithdrawnDuringCall =
            new Authenticator() {
                @Override
                public Either<HeathercourseException, Principal> authenticate(String header) {
                    return Either.right(new Principal(CallFixture.WORKSPACE, "k"));
                }

                @Override
                public Optional<HeathercourseException> recheck(Principal principal) {
                    return Optional.of(
                            new HeathercourseException(
                                    ErrorKind.KEY_WITHDRAWN, "withdrawn", "other key"));
                }
            };

    private final RateLimiter mUnlimited =
            new RateLimiter() {
                @Override
                public Either<HeathercourseException, WorkspaceId> tryAcquire(WorkspaceId w) {
                    return Either.right(w);
                }

                @Override
                public Either<HeathercourseException, WorkspaceId> acquire(
                        WorkspaceId w, long maxWaitMillis) {
                    return Either.right(w);
                }
            };

    @BeforeEach
    void start() {
        Ticker ticker = Ticker.system();
        SplittableRandom random = new SplittableRandom(7);
        PeerSettings peer = new PeerSettings("127.0.0.1", 0, new byte[] {1}, 1);
        mNetwork = new NettyPeerNetwork(peer, mFixture.shards::self, ticker, random);
        mNetwork.start();
        new CallAcceptor(mFixture.executor, new ProgramOps(mFixture.executor)).register(mNetwork);
        CallRouter calls =
                new CallRouter(
                        mFixture.executor,
                        mNetwork,
                        mFixture.shards,
                        mFixture.config,
                        mFixture.settings,
                        ticker);
        ProgramRouter programs =
                new ProgramRouter(
                        mNetwork,
                        mFixture.shards,
                        mFixture.config,
                        mFixture.settings,
                        ticker,
                        random);
        HttpSettings settings = HttpSettings.builder().build();
        CallerHandlers handlers =
                new CallerHandlers(
                        settings,
                        mWithdrawnDuringCall,
                        mUnlimited,
                        mFixture.config,
                        mFixture.shards,
                        calls,
                        programs,
                        ticker,
                        Clock.systemUTC(),
                        random);
        mServer = new CallerServer(settings, handlers, ticker, ended -> {});
        mPort = mServer.start();
    }

    @AfterEach
    void stop() {
        mServer.close();
        mNetwork.close();
        mFixture.close();
    }

    private static byte[] request(String authorization, String body) {
        String text =
                "POST /v1/services/orders/open/x HTTP/1.1\r\nHost: a\r\n"
                        + authorization
                        + "Transfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(body.length())
                        + "\r\n"
                        + body
                        + "\r\n0\r\n\r\n";
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String readHeadAndBody(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int b = socket.getInputStream().read();
            if (b < 0) {
                return text.toString();
            }
            text.append((char) b);
        }
        return text.toString();
    }

    /** The key of the first call is withdrawn before its target has read the body. */
    @Test
    void bodyOfNextRequestIsNotSentWithEndedRequest() throws Exception {
        CountDownLatch secondStarted = new CountDownLatch(1);
        CountDownLatch firstRead = new CountDownLatch(1);
        mFixture.targets.beforePlainBody =
                count -> {
                    if (count == 1) {
                        await(secondStarted);
                    } else {
                        secondStarted.countDown();
                        await(firstRead);
                    }
                };
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mPort)) {
            socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            String key = "Authorization: Bearer " + KEY + "\r\n";
            socket.getOutputStream().write(request(key, "first"));
            assertThat(readHeadAndBody(socket, "key_withdrawn")).contains("key_withdrawn");
            readHeadAndBody(socket, "}");
            socket.getOutputStream().write(request("", "second"));
            assertThat(secondStarted.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            Thread.sleep(READ_DELAY_MILLIS);
            assertThat(mFixture.targets.plainBodies).isEmpty();
            firstRead.countDown();
            Awaitility.await().until(() -> !mFixture.targets.plainBodies.isEmpty());
            assertThat(mFixture.targets.plainBodies).containsExactly("second");
        }
    }

    /** A read that is in progress at the end could take the next body: the connection closes. */
    @Test
    void connectionClosesIfBodyIsBeingReadAtTheEnd() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mPort)) {
            socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            String whole = new String(request("", "first"), StandardCharsets.US_ASCII);
            String part = whole.substring(0, whole.length() - 7);
            String authorized = part.replace("Host: a", "Host: a\r\nAuthorization: Bearer " + KEY);
            socket.getOutputStream().write(authorized.getBytes(StandardCharsets.US_ASCII));
            String answer = readHeadAndBody(socket, "never sent");
            assertThat(answer).contains("key_withdrawn");
            assertThat(mFixture.targets.plainBodies).isEmpty();
        }
    }
}
