package org.heathercourse.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.LifecycleState;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.RetrySafety;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.junit.jupiter.api.Test;

/** Tests the scheduler with stale or incomplete telemetry and with failing targets. */
class SchedulerTest {
    private static final ServiceId SERVICE = new ServiceId("s");
    private static final int SLOTS = 8;

    private final Scheduler mScheduler =
            new Scheduler(new Zone("z"), SchedulerSettings.DEFAULT, new SplittableRandom(3));
    private long mNow = 100_000;
    private long mLastAttemptId;

    private static TargetSpec target(int i, LifecycleState state) {
        return new TargetSpec(
                id(i),
                SERVICE,
                new Zone("z"),
                "http://127.0.0.1:9",
                List.of("m"),
                true,
                SLOTS,
                state,
                "");
    }

    private static TargetId id(int i) {
        return new TargetId("t" + i);
    }

    private void configure(int targets, int draining) {
        List<TargetSpec> specs = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            specs.add(target(i, i == draining ? LifecycleState.DRAINING : LifecycleState.UP));
        }
        mScheduler.onConfig(DeploymentConfig.builder().targets(specs).build(), 1, mNow);
    }

    private void report(int target, int running, int queued) {
        mScheduler.onLoadReport(
                id(target), new LoadReport(running, queued, 0, 0, 100_000, List.of(), 0), mNow);
    }

    private static PickRequest request(String session, int prompt) {
        return PickRequest.builder(new ProgramId("p-" + session), new WorkspaceId("w"), SERVICE)
                .model("m")
                .session(session)
                .promptTokens(prompt)
                .expectedTokens(50)
                .build();
    }

    private TargetId call(String session, int prompt) {
        PickRequest request = request(session, prompt);
        Pick pick = mScheduler.pick(request, mNow).get();
        long attempt = ++mLastAttemptId;
        mScheduler.onDispatched(attempt, request, pick, mNow);
        mScheduler.onFirstToken(attempt, mNow + 50);
        mScheduler.onFinished(attempt, new Usage(prompt, 50, pick.cachedTokens()), mNow + 100);
        return pick.target();
    }

    /** Guards against sending all calls to one target while its load report is old. */
    @Test
    void spreadsCallsWhileLoadReportsAreStale() {
        configure(3, -1);
        report(0, 0, 0);
        report(1, 4, 0);
        report(2, 4, 0);
        Set<TargetId> used = new HashSet<>();
        for (int i = 0; i < 2 * SLOTS; i++) {
            mNow += 20;
            PickRequest request = request("n" + i, 2_000);
            Pick pick = mScheduler.pick(request, mNow).get();
            mScheduler.onDispatched(++mLastAttemptId, request, pick, mNow);
            used.add(pick.target());
        }
        assertThat(used).hasSize(3);
    }

    /** Guards against ignoring the cached prefix of a session after lost cache events. */
    @Test
    void keepsUsingCacheHolderDespiteEventGaps() {
        configure(6, -1);
        TargetId first = call("a", 5_000);
        mScheduler.onCacheEvents(first, List.of(new CacheChange(1, "x", 10)), mNow);
        mNow += 20_000;
        mScheduler.onCacheEvents(first, List.of(new CacheChange(900, "y", 10)), mNow);
        for (int i = 0; i < 20; i++) {
            assertThat(call("a", 5_200)).isEqualTo(first);
        }
    }

    /** Guards against assuming a cached prefix after sequence numbers show an engine restart. */
    @Test
    void assumesEmptyCacheAfterEngineRestart() {
        configure(1, -1);
        TargetId first = call("a", 5_000);
        mScheduler.onCacheEvents(first, List.of(new CacheChange(5_000, "x", 10)), mNow);
        mNow += 10_000;
        mScheduler.onCacheEvents(first, List.of(new CacheChange(1, "y", 10)), mNow);
        assertThat(mScheduler.pick(request("a", 5_100), mNow).get().cachedTokens()).isZero();
    }

    /** Guards against a failed engine that still gets calls because it held a prefix. */
    @Test
    void avoidsFailedEngineUntilBreakerCloses() {
        configure(4, -1);
        TargetId holder = call("a", 5_000);
        for (int i = 0; i < 3; i++) {
            PickRequest request = request("a", 5_000);
            Pick pick = mScheduler.pick(request, mNow).get();
            assertThat(pick.target()).isEqualTo(holder);
            mScheduler.onDispatched(++mLastAttemptId, request, pick, mNow);
            mScheduler.onFailed(mLastAttemptId, true, mNow);
        }
        Pick after = mScheduler.pick(request("a", 5_000), mNow).get();
        assertThat(after.target()).isNotEqualTo(holder);
        assertThat(after.migrateFrom()).as("no migration from a failed engine").isEmpty();
        mNow += 2_000;
        assertThat(mScheduler.pick(request("a", 5_000), mNow).get().target()).isEqualTo(holder);
    }

    /** Guards against new calls to a draining target and against losing its cache. */
    @Test
    void migratesCacheFromDrainingTarget() {
        configure(1, -1);
        call("a", 90_000);
        configure(2, 0);
        report(1, SLOTS - 2, 0);
        Pick pick = mScheduler.pick(request("a", 90_000), mNow).get();
        assertThat(pick.target()).isEqualTo(id(1));
        assertThat(pick.migrateFrom()).contains(id(0));
    }

    /** Guards against refusals without a retry time and against unbounded queues. */
    @Test
    void refusesWithRetryTimeWhenAllTargetsAreFull() {
        configure(2, -1);
        report(0, SLOTS, 3 * SLOTS);
        report(1, SLOTS, 3 * SLOTS);
        Either<Refusal, Pick> picked = mScheduler.pick(request("a", 100), mNow);
        assertThat(picked.isLeft()).isTrue();
        assertThat(picked.getLeft().retryAfterMillis()).isBetween(100L, 10_000L);
        assertThat(picked.getLeft().kind().notRunByDefault()).isTrue();
        configure(0, -1);
        assertThat(mScheduler.pick(request("a", 100), mNow).isLeft()).isTrue();
    }

    /** Guards against retrying a call at a target that has just failed it. */
    @Test
    void avoidsExcludedTargets() {
        configure(3, -1);
        for (int i = 0; i < 50; i++) {
            PickRequest request =
                    PickRequest.builder(new ProgramId("p"), new WorkspaceId("w"), SERVICE)
                            .model("m")
                            .excluded(Set.of(id(0), id(2)))
                            .build();
            assertThat(mScheduler.pick(request, mNow).get().target()).isEqualTo(id(1));
        }
    }

    /** Guards against repeating non-idempotent calls and against retry storms. */
    @Test
    void limitsRetriesToBudget() {
        configure(1, -1);
        assertThat(mScheduler.tryAcquireRetry(RetrySafety.NON_IDEMPOTENT, false)).isFalse();
        assertThat(mScheduler.tryAcquireRetry(RetrySafety.NON_IDEMPOTENT, true)).isTrue();
        int retries = 0;
        for (int i = 0; i < 100; i++) {
            retries += mScheduler.tryAcquireRetry(RetrySafety.IDEMPOTENT, false) ? 1 : 0;
        }
        assertThat(retries).isLessThanOrEqualTo(10);
    }

    /** Guards against cached prefixes of ended programs that are never released. */
    @Test
    void returnsCacheHoldersOfEndedProgram() {
        configure(4, -1);
        TargetId holder = call("a", 1_000);
        assertThat(mScheduler.onProgramEnded(new ProgramId("p-a"), List.of("a")))
                .containsExactly(holder);
        assertThat(mScheduler.onProgramEnded(new ProgramId("p-a"), List.of("a"))).isEmpty();
    }

    /** Guards against urgent calls that are queued behind other classes. */
    @Test
    void ordersPrioritiesByRequestClass() {
        configure(1, -1);
        PickRequest.Builder builder =
                PickRequest.builder(new ProgramId("p"), new WorkspaceId("w"), SERVICE)
                        .model("m")
                        .epochMillis(1_780_000_000_000L);
        int urgent =
                mScheduler
                        .pick(builder.requestClass(RequestClass.URGENT).build(), mNow)
                        .get()
                        .priority();
        int normal =
                mScheduler
                        .pick(builder.requestClass(RequestClass.INTERACTIVE).build(), mNow)
                        .get()
                        .priority();
        int batch =
                mScheduler
                        .pick(builder.requestClass(RequestClass.BATCH).build(), mNow)
                        .get()
                        .priority();
        assertThat(urgent).isLessThan(normal);
        assertThat(normal).isLessThan(batch);
    }

    private static PickRequest plainRequest(String program, long deadlineMillis) {
        return PickRequest.builder(new ProgramId(program), new WorkspaceId("w"), SERVICE)
                .deadlineMillis(deadlineMillis)
                .build();
    }

    /** Guards against token estimates that refuse or misplace calls of plain services. */
    @Test
    void balancesPlainCallsWithTightDeadlines() {
        configure(3, -1);
        int[] calls = new int[3];
        for (int i = 0; i < 3 * (SLOTS - 2); i++) {
            PickRequest request = plainRequest("p" + i, 50);
            Pick pick = mScheduler.pick(request, mNow).get();
            mScheduler.onDispatched(++mLastAttemptId, request, pick, mNow);
            calls[Integer.parseInt(pick.target().value().substring(1))]++;
        }
        assertThat(calls).contains(SLOTS - 2).doesNotContain(0, SLOTS);
    }

    /** Guards against races that corrupt the count of calls in flight. */
    @Test
    void countsCallsInFlightUnderConcurrency() throws InterruptedException {
        configure(4, -1);
        List<Thread> threads = new ArrayList<>();
        for (int t = 0; t < 4; t++) {
            int thread = t;
            threads.add(
                    new Thread(
                            () -> {
                                for (int i = 0; i < 2_000; i++) {
                                    long attempt = thread * 10_000L + i + 1;
                                    PickRequest request = plainRequest("p" + thread, 5_000);
                                    Pick pick = mScheduler.pick(request, mNow).get();
                                    mScheduler.onDispatched(attempt, request, pick, mNow);
                                    if (i % 2 == 0) {
                                        mScheduler.onFinished(attempt, Usage.NONE, mNow);
                                    } else {
                                        mScheduler.onFailed(attempt, false, mNow);
                                    }
                                }
                            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        // If an ended call were still counted, the targets would refuse one of these calls.
        for (int i = 0; i < 4 * SLOTS; i++) {
            PickRequest request = plainRequest("q" + i, 5_000);
            Pick pick = mScheduler.pick(request, mNow).get();
            mScheduler.onDispatched(100_000 + i, request, pick, mNow);
        }
        assertThat(mScheduler.pick(plainRequest("r", 5_000), mNow).isLeft()).isTrue();
    }
}
