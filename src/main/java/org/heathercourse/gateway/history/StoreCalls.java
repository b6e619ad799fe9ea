package org.heathercourse.gateway.history;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.platform.StoreException;

/**
 * Repeats calls to the store until one is answered or their time is over. Calls must be safe to
 * repeat while an earlier one is still under way.
 *
 * <p>Methods may be called on any thread; calls begin, and futures complete, on the control thread.
 */
final class StoreCalls {
    /**
     * Time in milliseconds without a reply after which a call is repeated. Well above the latency
     * of a store that is 60 times slower than its usual 5 ms, and below the timeout of a call.
     */
    static final long REPEAT_MILLIS = 400;

    /**
     * Maximum number of results that are being waited for. A row takes about 250 KB of memory while
     * its reply is parsed, and the heap is 72 MB.
     */
    private static final int MAX_PARALLEL = 16;

    /** Maximum number of calls under way for the same result. */
    private static final int MAX_RUNNING = 3;

    private static final long MIN_DELAY_MILLIS = 40;
    private static final long MAX_DELAY_MILLIS = 200;

    private final ScheduledExecutorService mControl;
    private final SuspendAwareClock mClock;
    private final StoreAvailability mAvailability;
    private final HistoryMetrics mMetrics;
    private final RandomGenerator mRandom;
    private final WorkGate mGate = new WorkGate(MAX_PARALLEL);

    StoreCalls(
            ScheduledExecutorService control,
            SuspendAwareClock clock,
            StoreAvailability availability,
            HistoryMetrics metrics,
            RandomGenerator random) {
        mControl = control;
        mClock = clock;
        mAvailability = availability;
        mMetrics = metrics;
        mRandom = random;
    }

    /** Returns a time limit that begins now. */
    TimeLimit timeLimit(long maxWaitMillis) {
        return new TimeLimit(mClock, mClock.now(), maxWaitMillis);
    }

    /** A limit of the time for several calls together. */
    record TimeLimit(
            SuspendAwareClock clock, SuspendAwareClock.Timestamp begun, long maxWaitMillis) {
        long remainingMillis() {
            return Math.max(0, maxWaitMillis - elapsedMillis());
        }

        long elapsedMillis() {
            return clock.millisSince(begun);
        }
    }

    /**
     * Calls the store, after other calls if many are under way.
     *
     * @param limit limit of the time
     * @param call begins a call
     * @return the first reply; fails with the last failure when the time is over
     */
    <T> CompletableFuture<T> call(TimeLimit limit, Supplier<CompletableFuture<T>> call) {
        return mGate.run(1, () -> callNow(limit, call));
    }

    private <T> CompletableFuture<T> callNow(TimeLimit limit, Supplier<CompletableFuture<T>> call) {
        RepeatedCall<T> repeated = new RepeatedCall<>(call);
        mControl.execute(() -> repeated.start(limit.remainingMillis()));
        return repeated.mResult;
    }

    /** Confined to the control thread. */
    private final class RepeatedCall<T> {
        private final CompletableFuture<T> mResult = new CompletableFuture<>();

        /** Null after the result is known, so that timers keep no content in memory. */
        private Supplier<CompletableFuture<T>> mCall;

        private ScheduledFuture<?> mEnd;
        private Throwable mLastFailure;
        private long mDelayMillis = MIN_DELAY_MILLIS;
        private int mRunning;

        RepeatedCall(Supplier<CompletableFuture<T>> call) {
            mCall = call;
        }

        void start(long maxWaitMillis) {
            mEnd = mControl.schedule(this::expire, maxWaitMillis, TimeUnit.MILLISECONDS);
            begin();
        }

        private void begin() {
            if (mCall == null) {
                return;
            }
            SuspendAwareClock.Timestamp begun = mClock.now();
            mRunning++;
            ScheduledFuture<?> repetition =
                    mControl.schedule(this::repeat, REPEAT_MILLIS, TimeUnit.MILLISECONDS);
            mCall.get()
                    .whenCompleteAsync(
                            (reply, error) -> {
                                repetition.cancel(false);
                                onReply(begun, reply, error);
                            },
                            mControl);
        }

        private void repeat() {
            if (mCall == null) {
                return;
            }
            if (!mAvailability.isAvailable()) {
                // Probes find out when the store is back; calls of all turns would only cost.
                schedule(MAX_DELAY_MILLIS);
            } else if (mRunning < MAX_RUNNING) {
                mMetrics.recordStoreRetry();
                begin();
            }
        }

        private void onReply(SuspendAwareClock.Timestamp begun, T reply, Throwable error) {
            mRunning--;
            if (error == null) {
                mAvailability.recordReply();
                finish();
                mResult.complete(reply);
                return;
            }
            mAvailability.recordFailure(begun);
            mLastFailure = error instanceof CompletionException e ? e.getCause() : error;
            if (mCall != null) {
                schedule(mDelayMillis);
                mDelayMillis = Math.min(MAX_DELAY_MILLIS, mDelayMillis * 2);
            }
        }

        /** Repeats the call later; calls that failed at the same time spread their repetitions. */
        private void schedule(long delayMillis) {
            long spreadMillis = delayMillis / 2 + mRandom.nextLong(delayMillis);
            mControl.schedule(this::repeat, spreadMillis, TimeUnit.MILLISECONDS);
        }

        private void expire() {
            if (mCall != null) {
                finish();
                mResult.completeExceptionally(
                        mLastFailure instanceof StoreException
                                ? mLastFailure
                                : StoreException.outcomeUnknown(
                                        "the store did not reply in time", mLastFailure));
            }
        }

        private void finish() {
            mCall = null;
            mEnd.cancel(false);
        }
    }
}
