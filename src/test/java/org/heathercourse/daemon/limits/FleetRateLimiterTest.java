package org.heathercourse.daemon.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.awaitility.Awaitility;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.config.FakeFleet;
import org.heathercourse.daemon.peer.PeerMessage.ShareReply;
import org.heathercourse.daemon.peer.PeerMessage.ShareRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against daemons that admit requests without a share, or reject them while the grantor has
 * tokens.
 */
class FleetRateLimiterTest {
    private static final WorkspaceId WORKSPACE = new WorkspaceId("mill");
    private static final long WAIT_MILLIS = 10_000;

    private final FakeFleet mFleet = new FakeFleet();
    private final ScheduledExecutorService mControl = Executors.newSingleThreadScheduledExecutor();
    private DaemonInfo mFirstDaemon;
    private DaemonInfo mSecondDaemon;

    /** Configuration with one workspace whose low rate refills hardly any tokens during a test. */
    private static final class Config implements ConfigSource {
        @Override
        public DeploymentConfig current() {
            WorkspaceSpec workspace = new WorkspaceSpec(WORKSPACE, List.of(), 0.001, 20, 0, 1);
            return DeploymentConfig.builder().workspaces(List.of(workspace)).build();
        }

        @Override
        public boolean isFresh() {
            return true;
        }

        @Override
        public void onChange(Consumer<DeploymentConfig> listener) {
            listener.accept(current());
        }
    }

    @BeforeEach
    void addDaemons() {
        mFirstDaemon = mFleet.add("a");
        mSecondDaemon = mFleet.add("b");
        mFleet.owner = mFirstDaemon.vm();
    }

    @AfterEach
    void stop() {
        mControl.shutdownNow();
    }

    private FleetRateLimiter startLimiter(DaemonInfo daemon) {
        FleetRateLimiter limiter =
                new FleetRateLimiter(
                        new Config(),
                        mFleet.directory(daemon),
                        mFleet.network(daemon),
                        Ticker.system(),
                        mControl);
        limiter.start();
        return limiter;
    }

    private void startGrantor(DaemonInfo daemon) {
        new GrantorService(
                        new Config(),
                        mFleet.directory(daemon),
                        mFleet.network(daemon),
                        Ticker.system(),
                        mControl)
                .start();
    }

    /** Guards against two daemons that together admit more than the burst, or less. */
    @Test
    void twoDaemonsShareTheBurst() {
        startGrantor(mFirstDaemon);
        FleetRateLimiter first = startLimiter(mFirstDaemon);
        FleetRateLimiter second = startLimiter(mSecondDaemon);
        int admitted = 0;
        for (int i = 0; i < 10; i++) {
            admitted += first.acquire(WORKSPACE, WAIT_MILLIS).isRight() ? 1 : 0;
            admitted += second.acquire(WORKSPACE, WAIT_MILLIS).isRight() ? 1 : 0;
        }
        assertThat(admitted).isEqualTo(20);
        for (int i = 0; i < 50; i++) {
            assertThat(first.tryAcquire(WORKSPACE).isLeft()).isTrue();
            assertThat(second.tryAcquire(WORKSPACE).isLeft()).isTrue();
        }
    }

    /** Guards against a request that is rejected while the first share is being requested. */
    @Test
    void firstRequestWaitsForShare() {
        FleetRateLimiter limiter = startLimiter(mSecondDaemon);
        HeathercourseException refused = limiter.tryAcquire(WORKSPACE).getLeft();
        assertThat(refused.kind()).isEqualTo(ErrorKind.RATE_LIMITED);
        assertThat(refused.notRun()).isTrue();
        assertThat(refused.retryAfterMillis()).isPositive();
        var waiting = CompletableFuture.supplyAsync(() -> limiter.acquire(WORKSPACE, WAIT_MILLIS));
        startGrantor(mFirstDaemon);
        Awaitility.await().atMost(20, TimeUnit.SECONDS).until(waiting::isDone);
        assertThat(waiting.join().isRight()).isTrue();
        assertThat(limiter.tryAcquire(new WorkspaceId("other")).getLeft().kind())
                .isEqualTo(ErrorKind.FORBIDDEN);
    }

    /**
     * Guards against shares granted by a daemon that does not own the shard or by an older grantor.
     */
    @Test
    void onlyTheOwnerGrants() {
        startGrantor(mFirstDaemon);
        startGrantor(mSecondDaemon);
        assertThat(requestShare(mSecondDaemon, 0)).isEqualTo(ErrorKind.OWNER_UNAVAILABLE);
        assertThat(requestShare(mFirstDaemon, 2)).isEqualTo(ErrorKind.OWNER_UNAVAILABLE);
        assertThat(requestShare(mFirstDaemon, 1)).isNull();
    }

    private ErrorKind requestShare(DaemonInfo grantor, long fence) {
        ShareRequest request =
                new ShareRequest(
                        WORKSPACE,
                        mSecondDaemon.vm(),
                        1,
                        1,
                        0,
                        0,
                        0,
                        0,
                        0,
                        fence,
                        fence + 1,
                        0,
                        fence,
                        0);
        return mFleet.network(mSecondDaemon)
                .request(grantor, request, ShareReply.class, 1_000)
                .handle(
                        (reply, failure) ->
                                failure == null
                                        ? null
                                        : ((HeathercourseException) failure.getCause()).kind())
                .join();
    }
}
