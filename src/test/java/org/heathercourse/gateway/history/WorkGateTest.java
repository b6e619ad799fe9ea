package org.heathercourse.gateway.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against work beyond the bound, and against work that waits for ever. */
class WorkGateTest {
    private final WorkGate mGate = new WorkGate(10);
    private final List<CompletableFuture<String>> mStarted = new ArrayList<>();

    private CompletableFuture<String> run(long cost) {
        return mGate.run(
                cost,
                () -> {
                    CompletableFuture<String> work = new CompletableFuture<>();
                    mStarted.add(work);
                    return work;
                });
    }

    @Test
    void startsInOrderWithinTheCapacity() {
        run(6);
        run(5);
        run(1);
        assertThat(mStarted).as("the last one does not overtake").hasSize(1);
        mStarted.get(0).complete("a");
        assertThat(mStarted).hasSize(3);
    }

    @Test
    void workBeyondTheCapacityRunsAlone() {
        run(1);
        run(50);
        run(1);
        assertThat(mStarted).hasSize(1);
        mStarted.get(0).complete("a");
        assertThat(mStarted).hasSize(2);
        mStarted.get(1).complete("b");
        assertThat(mStarted).hasSize(3);
    }

    @Test
    void failuresReleaseTheirCost() {
        CompletableFuture<String> failed = run(10);
        mStarted.get(0).completeExceptionally(new IllegalStateException("lost"));
        assertThat(failed).isCompletedExceptionally();
        CompletableFuture<String> thrown =
                mGate.run(
                        10,
                        () -> {
                            throw new IllegalStateException("not begun");
                        });
        assertThat(thrown).isCompletedExceptionally();
        run(10);
        assertThat(mStarted).hasSize(2);
    }

    @Test
    void cancelledWorkIsForgotten() {
        run(10);
        CompletableFuture<String> cancelled = run(10);
        run(10);
        cancelled.cancel(false);
        assertThat(mGate.waitingCount()).isEqualTo(1);
        mStarted.get(0).complete("a");
        assertThat(mStarted).hasSize(2);
        mStarted.get(1).complete("c");
        assertThat(mGate.waitingCount()).isZero();
    }

    /** Guards against a stack that grows with the work that waits. */
    @Test
    void muchWorkThatEndsAtOnceIsRunInOneLoop() {
        run(10);
        List<CompletableFuture<Integer>> results = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            int number = i;
            results.add(mGate.run(10, () -> CompletableFuture.completedFuture(number)));
        }
        mStarted.get(0).complete("a");
        assertThat(results).allMatch(CompletableFuture::isDone);
        assertThat(results.get(99_999).join()).isEqualTo(99_999);
    }
}
