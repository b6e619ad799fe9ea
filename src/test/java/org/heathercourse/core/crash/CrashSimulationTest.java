package org.heathercourse.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that crash more targets than stated, and against refused sound ones, when
 * both run beside one another on six targets with 16 slots each.
 */
class CrashSimulationTest {
    private static final int TARGETS = 6;
    private static final int SLOTS = 16;
    private static final int STEP_MILLIS = 100;
    private static final int DAY_MILLIS = 60_000;
    private static final int RESTART_MILLIS = 3_000;
    private static final int SEEDS = 100;

    /** Mean number of sound requests that arrive in one step; they occupy half of the slots. */
    private static final double ARRIVALS_PER_STEP = 1.4;

    private record Run(
            RequestDigest digest, int target, long startMillis, long endMillis, boolean crashes) {}

    /** One day with the given number of crashing requests. */
    private static final class Day {
        private final SplittableRandom mRandom;
        private final List<Run> mRuns = new ArrayList<>();
        private final Map<RequestDigest, Long> mWaitingUntilMillis = new HashMap<>();
        private final Set<RequestDigest> mCrashing = new HashSet<>();
        private final Map<RequestDigest, Integer> mEndedTargets = new HashMap<>();
        private final Set<RequestDigest> mRefused = new HashSet<>();
        private final Set<RequestDigest> mSucceeded = new HashSet<>();
        private final long[] mUpAtMillis = new long[TARGETS];
        private CrashTable mTable = CrashTable.EMPTY;
        private int mSoundCount;

        Day(long seed, int crashingRequests) {
            mRandom = new SplittableRandom(seed);
            for (int i = 0; i < crashingRequests; i++) {
                mCrashing.add(new RequestDigest("crashing" + i));
            }
            mCrashing.forEach(
                    digest -> mWaitingUntilMillis.put(digest, mRandom.nextLong(5_000) + 5_000));
        }

        Day play() {
            for (long now = 0; now < DAY_MILLIS; now += STEP_MILLIS) {
                for (double rest = ARRIVALS_PER_STEP; rest > mRandom.nextDouble(); rest--) {
                    mWaitingUntilMillis.put(new RequestDigest("sound" + ++mSoundCount), now);
                }
                endRuns(now);
                startWaiting(now);
                checkTable();
            }
            return this;
        }

        private void checkTable() {
            assertThat(mTable.entries()).hasSizeLessThanOrEqualTo(CrashTable.MAX_ENTRIES);
            assertThat(mSucceeded).as("succeeded").noneMatch(mTable::isQuarantined);
        }

        private void endRuns(long nowMillis) {
            for (Run run : List.copyOf(mRuns)) {
                if (run.endMillis() > nowMillis || !mRuns.contains(run)) {
                    continue;
                }
                if (run.crashes()) {
                    mEndedTargets.merge(run.digest(), 1, Integer::sum);
                    endTarget(run.target(), nowMillis);
                } else {
                    mRuns.remove(run);
                    mSucceeded.add(run.digest());
                    mTable = mTable.withoutDigest(run.digest());
                }
            }
        }

        private void endTarget(int target, long nowMillis) {
            String incarnation = target + "/" + mUpAtMillis[target];
            mUpAtMillis[target] = nowMillis + RESTART_MILLIS;
            for (Run run : List.copyOf(mRuns)) {
                if (run.target() == target) {
                    mRuns.remove(run);
                    mTable =
                            mTable.withCrash(
                                    run.digest(),
                                    new Crash(incarnation, "g", run.startMillis(), nowMillis));
                    long pauseMillis = mCrashing.contains(run.digest()) ? 1_000 : STEP_MILLIS;
                    mWaitingUntilMillis.put(
                            run.digest(), nowMillis + mRandom.nextLong(1, pauseMillis + 1));
                }
            }
        }

        private void startWaiting(long nowMillis) {
            for (RequestDigest digest : List.copyOf(mWaitingUntilMillis.keySet())) {
                if (mTable.isQuarantined(digest)) {
                    mRefused.add(digest);
                } else if (mWaitingUntilMillis.get(digest) <= nowMillis) {
                    start(digest, nowMillis);
                }
            }
        }

        private void start(RequestDigest digest, long nowMillis) {
            int target = mRandom.nextInt(TARGETS);
            long occupied = mRuns.stream().filter(run -> run.target() == target).count();
            if (mUpAtMillis[target] > nowMillis || occupied == SLOTS) {
                return;
            }
            boolean crashes = mCrashing.contains(digest);
            long runMillis = crashes ? mRandom.nextLong(100, 1_000) : mRandom.nextLong(500, 6_000);
            mRuns.add(new Run(digest, target, nowMillis, nowMillis + runMillis, crashes));
            mWaitingUntilMillis.remove(digest);
        }

        private int refusedSound() {
            Set<RequestDigest> refused = new HashSet<>(mRefused);
            refused.removeAll(mCrashing);
            return refused.size();
        }
    }

    @Test
    void crashingRequestEndsAtMostThreeTargetsAndSoundOnesAreServed() {
        playDays(1);
    }

    @Test
    void twoCrashingRequestsEndAtMostThreeTargetsEach() {
        playDays(2);
    }

    private static void playDays(int crashingRequests) {
        int soundCount = 0;
        int refusedSound = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed, crashingRequests).play();
            soundCount += day.mSoundCount;
            refusedSound += day.refusedSound();
            assertThat(day.mRefused).as("seed %d", seed).containsAll(day.mCrashing);
            assertThat(day.mEndedTargets.values())
                    .as("targets ended by each, seed %d", seed)
                    .allMatch(ended -> ended <= CrashTable.CRASH_LIMIT);
        }
        assertThat(refusedSound)
                .as("refused of %d sound requests", soundCount)
                .isLessThanOrEqualTo(soundCount / 200);
    }
}
