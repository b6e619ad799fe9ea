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

/** Guards against daemons that admit without a share or refuse while the grantor has tokens. */
class FleetRateLimiterTest {
    private static final WorkspaceId MILL = new WorkspaceId("mill");
    private static final long WAIT_MILLIS = 10_000;

    private final FakeFleet mFleet = new FakeFleet();
    private final ScheduledExecutorService mControl = Executors.newSingleThreadScheduledExecutor();
    private DaemonInfo mFirst;
    private DaemonInfo mSecond;

    /** A configuration with one workspace of a low rate, so that little is filled during a test. */
    private static final class Config implements ConfigSource {
        @Override
        public DeploymentConfig current() {
            WorkspaceSpec mill = new WorkspaceSpec(MILL, List.of(), 0.001, 20, 0, 1);
            return DeploymentConfig.builder().workspaces(List.of(mill)).build();
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
        mFirst = mFleet.add("a");
        mSecond = mFleet.add("b");
        mFleet.owner = mFirst.vm();
    }

    @AfterEach
    void stop() {
        mControl.shutdownNow();
    }

    private FleetRateLimiter limiter(DaemonInfo daemon) {
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

    /** Fails if two daemons together admit more than the burst, or not all of it. */
    @Test
    void twoDaemonsShareTheBurst() {
        startGrantor(mFirst);
        FleetRateLimiter here = limiter(mFirst);
        FleetRateLimiter there = limiter(mSecond);
        int admitted = 0;
        for (int i = 0; i < 10; i++) {
            admitted += here.acquire(MILL, WAIT_MILLIS).isRight() ? 1 : 0;
            admitted += there.acquire(MILL, WAIT_MILLIS).isRight() ? 1 : 0;
        }
        assertThat(admitted).isEqualTo(20);
        for (int i = 0; i < 50; i++) {
            assertThat(here.tryAcquire(MILL).isLeft()).isTrue();
            assertThat(there.tryAcquire(MILL).isLeft()).isTrue();
        }
    }

    /** Fails if a request is refused although its first share is on the way. */
    @Test
    void firstRequestWaitsForShare() {
        FleetRateLimiter there = limiter(mSecond);
        HeathercourseException refused = there.tryAcquire(MILL).getLeft();
        assertThat(refused.kind()).isEqualTo(ErrorKind.RATE_LIMITED);
        assertThat(refused.notRun()).isTrue();
        assertThat(refused.retryAfterMillis()).isPositive();
        var waiting = CompletableFuture.supplyAsync(() -> there.acquire(MILL, WAIT_MILLIS));
        startGrantor(mFirst);
        Awaitility.await().atMost(20, TimeUnit.SECONDS).until(waiting::isDone);
        assertThat(waiting.join().isRight()).isTrue();
        assertThat(there.tryAcquire(new WorkspaceId("other")).getLeft().kind())
                .isEqualTo(ErrorKind.FORBIDDEN);
    }

    /** Fails if a daemon that does not own the shard, or an older grantor, gives shares. */
    @Test
    void onlyTheOwnerGrants() {
        startGrantor(mFirst);
        startGrantor(mSecond);
        assertThat(ask(mSecond, 0)).isEqualTo(ErrorKind.OWNER_UNAVAILABLE);
        assertThat(ask(mFirst, 2)).isEqualTo(ErrorKind.OWNER_UNAVAILABLE);
        assertThat(ask(mFirst, 1)).isNull();
    }

    private ErrorKind ask(DaemonInfo grantor, long fence) {
        ShareRequest request =
                new ShareRequest(
                        MILL, mSecond.vm(), 1, 1, 0, 0, 0, 0, 0, fence, fence + 1, 0, fence, 0);
        return mFleet.network(mSecond)
                .request(grantor, request, ShareReply.class, 1_000)
                .handle(
                        (reply, failure) ->
                                failure == null
                                        ? null
                                        : ((HeathercourseException) failure.getCause()).kind())
                .join();
    }
}
