package org.heathercourse.gateway.history;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.history.History;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.gateway.control.ManualExecutor;

/** Gateways that share a store and the time, and calls to them that tests wait for. */
final class HistoryGateways {
    /** Admits histories of any size. */
    static final HistoryAdmission ADMIT_ALL = bytes -> CompletableFuture.completedFuture(true);

    static final long RETENTION_MILLIS = 60_000;
    static final long MAX_WAIT_MILLIS = 10_000;
    static final long MAX_HISTORY_BYTES = 8L * 1024 * 1024;

    /** A divisor of the interval between two visits of a sweeper, in milliseconds. */
    private static final long STEP_MILLIS = 125;

    final TestTime mTime = new TestTime();
    final ManualExecutor mExecutor = new ManualExecutor(mTime);
    final FaultyTurnStore mStore = new FaultyTurnStore();
    private final HistoryMetrics mMetrics = new HistoryMetrics(new MetricRegistry());
    private long mSeed;

    /** Returns a gateway that has just started, without cached rows. */
    StoreTurnHistory create() {
        return new StoreTurnHistory(
                mStore,
                mExecutor,
                mTime.suspendAwareClock(),
                mTime.wallClock(),
                mMetrics,
                MAX_HISTORY_BYTES,
                new SplittableRandom(++mSeed));
    }

    void startSweeper() {
        new HistorySweeper(
                        mStore,
                        mExecutor,
                        mTime.wallClock(),
                        mMetrics,
                        "g1",
                        () -> Set.of("g1"),
                        () -> true)
                .start();
    }

    /** Advances the time in steps, so that each task runs at its time. */
    void advance(long millis) {
        for (long i = 0; i < millis; i += STEP_MILLIS) {
            mExecutor.advance(Math.min(STEP_MILLIS, millis - i));
        }
    }

    /** Advances the time until a call is done. */
    <T> CompletableFuture<T> await(CompletableFuture<T> call) {
        for (int i = 0; i < 1_000 && !call.isDone(); i++) {
            mExecutor.advance(20);
        }
        return call;
    }

    Optional<History> read(StoreTurnHistory gateway, String turnId) {
        return await(gateway.read("w", turnId, HistoryGateways.ADMIT_ALL)).join();
    }

    /** Returns the history as text; "absent" if there is none. */
    String text(StoreTurnHistory gateway, String turnId) {
        return read(gateway, turnId)
                .map(history -> new String(history.body(), StandardCharsets.UTF_8))
                .orElse("absent");
    }

    CompletableFuture<Void> append(
            StoreTurnHistory gateway, String turnId, History parent, String input, String output) {
        return gateway.append(
                "w",
                turnId,
                parent,
                input.getBytes(StandardCharsets.UTF_8),
                output.getBytes(StandardCharsets.UTF_8),
                RETENTION_MILLIS,
                MAX_WAIT_MILLIS);
    }

    /** Appends a turn, continuing another unless its id is null, and waits until it is durable. */
    void turn(StoreTurnHistory gateway, String turnId, String parentId, byte[] input) {
        History parent = parentId == null ? null : read(gateway, parentId).orElseThrow();
        await(
                        gateway.append(
                                "w",
                                turnId,
                                parent,
                                input,
                                new byte[0],
                                RETENTION_MILLIS,
                                MAX_WAIT_MILLIS))
                .join();
    }
}
