package org.heathercourse.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.heathercourse.core.config.LifecycleState;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.junit.jupiter.api.Test;

/** Compares a daemon's estimates of targets with references computed from all events. */
class SchedulerStateDifferentialTest {
    private static final long SEED = 7L;

    private static final TargetSpec SPEC =
            new TargetSpec(
                    new TargetId("t"),
                    new ServiceId("s"),
                    new Zone("z"),
                    "http://127.0.0.1:9",
                    List.of("m"),
                    true,
                    64,
                    LifecycleState.UP,
                    "");

    /** Guards against a load estimate that counts own calls twice or drops them at a report. */
    @Test
    void estimatesCallsInFlightLikeCompleteEventLog() {
        System.out.println("seed=" + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        TargetView view = new TargetView(0, SPEC);
        List<Long> dispatched = new ArrayList<>();
        List<Long> ended = new ArrayList<>();
        List<TargetView.Attempt> inFlight = new ArrayList<>();
        long reportedMillis = Long.MIN_VALUE / 2;
        int reported = 0;
        long now = 0;
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(40);
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    TargetView.Attempt attempt = attempt(view, now);
                    view.onDispatched(attempt);
                    inFlight.add(attempt);
                    dispatched.add(now);
                }
                case 2, 3 -> {
                    if (!inFlight.isEmpty()) {
                        view.onEnded(inFlight.remove(random.nextInt(inFlight.size())), 10, now);
                        ended.add(now);
                    }
                }
                default -> {
                    long age = random.nextInt(700);
                    int running = random.nextInt(64);
                    view.onReport(new LoadReport(running, 0, 0, 0, 1, List.of("m"), age), now);
                    if (now - age >= reportedMillis) {
                        reportedMillis = now - age;
                        reported = running;
                    }
                }
            }
            long sinceMillis = reportedMillis;
            long started = dispatched.stream().filter(t -> t > sinceMillis).count();
            long finished = ended.stream().filter(t -> t > sinceMillis).count();
            double expected =
                    now - reportedMillis > TargetView.STALE_REPORT_MILLIS
                            ? inFlight.size() * 3.0
                            : Math.max(inFlight.size(), reported + started - finished);
            assertThat(view.inFlight(now, 3)).as("event " + i).isCloseTo(expected, within(1e-9));
        }
    }

    private static TargetView.Attempt attempt(TargetView view, long now) {
        PickRequest request =
                PickRequest.builder(new ProgramId("p"), new WorkspaceId("w"), new ServiceId("s"))
                        .promptTokens(100)
                        .build();
        Pick pick = new Pick(new TargetId("t"), 0, 0, 0, Optional.empty());
        return new TargetView.Attempt(view, request, pick, 0, now);
    }

    /** Guards against late events that overwrite newer entries and against wrong holders. */
    @Test
    void tracksCacheHoldersLikeReferenceMaps() {
        System.out.println("seed=" + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        CacheDirectory directory = new CacheDirectory(1_000, 100);
        Map<String, Map<Integer, long[]>> expectedHolders = new HashMap<>();
        long now = 0;
        for (int i = 0; i < 50_000; i++) {
            now += random.nextInt(500);
            String session = "s" + random.nextInt(50);
            int target = random.nextInt(6);
            long tokens = random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(10_000);
            Map<Integer, long[]> holders =
                    expectedHolders.computeIfAbsent(session, s -> new HashMap<>());
            if (random.nextBoolean()) {
                directory.recordCall(session, target, tokens + 1, now);
                holders.put(target, new long[] {tokens + 1, now});
            } else {
                directory.recordEvent(session, target, tokens, now);
                long[] knownEntry = holders.get(target);
                if (knownEntry == null
                        || now - knownEntry[1] >= CacheDirectory.MAX_EVENT_DELAY_MILLIS) {
                    holders.remove(target);
                    if (tokens > 0) {
                        holders.put(target, new long[] {tokens, now});
                    }
                }
            }
            CacheDirectory.Holders found = directory.holders(session);
            Map<Integer, Long> actual = new HashMap<>();
            for (int k = 0; k < found.size(); k++) {
                actual.put(found.target(k), (long) found.tokens(k));
            }
            Map<Integer, Long> expected = new HashMap<>();
            holders.forEach((t, v) -> expected.put(t, v[0]));
            assertThat(actual).as("event " + i).isEqualTo(expected);
        }
    }

    /** Guards against memory that grows with sessions that are never ended. */
    @Test
    void evictsLeastRecentlyUsedSession() {
        CacheDirectory directory = new CacheDirectory(100, 4);
        for (int i = 0; i < 1_000; i++) {
            directory.recordCall("s" + i, i % 10, 5, i);
        }
        assertThat(directory.size()).isEqualTo(100);
        assertThat(directory.holders("s0").size()).isZero();
        assertThat(directory.holders("s999").size()).isEqualTo(1);
    }

    /** Guards against queueing delays that are counted as prompt computation time. */
    @Test
    void estimatesPromptTokenTimeDespiteQueueingDelays() {
        System.out.println("seed=" + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        PrefillTimeEstimator estimator = new PrefillTimeEstimator(0.1);
        for (int i = 0; i < 2_000; i++) {
            double tokens = 50 + random.nextInt(3_000);
            estimator.observe(tokens, 0.02 * tokens + 40 + random.nextDouble(60));
        }
        assertThat(estimator.tokenMillis()).isCloseTo(0.02, within(0.004));
    }
}
