package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a sum of reservations that exceeds the budget, and against bytes lost from it. */
class MemoryBudgetTest {
    private static final long LIMIT_BYTES = 400_000;
    private static final long LARGE_BYTES = 100_000;
    private static final long SMALL_BYTES = 10_000;

    private final MemoryBudget mBudget = new MemoryBudget(LIMIT_BYTES);

    private boolean reserve(long bytes) {
        return mBudget.reserveNothing().resize(bytes);
    }

    @Test
    void leavesLastQuarterToSmallReservations() {
        assertThat(reserve(LARGE_BYTES)).isTrue();
        assertThat(reserve(LARGE_BYTES)).isTrue();
        assertThat(reserve(LARGE_BYTES)).isTrue();
        assertThat(reserve(LARGE_BYTES)).isFalse();
        for (int i = 0; i < 10; i++) {
            assertThat(reserve(SMALL_BYTES)).isTrue();
        }
        assertThat(reserve(SMALL_BYTES)).isFalse();
        assertThat(mBudget.usedBytes()).isEqualTo(LIMIT_BYTES);
        assertThat(mBudget.refusedCount()).isEqualTo(2);
    }

    /** Guards against requests that find no memory because of connections that send no request. */
    @Test
    void headsGetNoMoreThanHalf() {
        int heads = 0;
        while (mBudget.reserveHead().resize(SMALL_BYTES)) {
            heads++;
        }
        assertThat(heads * SMALL_BYTES).isEqualTo(LIMIT_BYTES / 2);
        assertThat(reserve(LARGE_BYTES)).isTrue();
    }

    @Test
    void refusedGrowthChangesNothing() {
        MemoryBudget.Reservation reservation = mBudget.reserveNothing();
        assertThat(reservation.resize(LARGE_BYTES)).isTrue();
        assertThat(reservation.resize(LIMIT_BYTES)).isFalse();
        assertThat(mBudget.usedBytes()).isEqualTo(LARGE_BYTES);
    }

    @Test
    void releasedBytesCanBeReservedAgain() {
        MemoryBudget.Reservation reservation = mBudget.reserveNothing();
        for (int i = 0; i < 10; i++) {
            assertThat(reservation.resize(3 * LARGE_BYTES)).isTrue();
            reservation.release();
            reservation.release();
        }
        assertThat(mBudget.usedBytes()).isZero();
        assertThat(mBudget.peakBytes()).isEqualTo(3 * LARGE_BYTES);
    }

    /**
     * Guards against a reservation that cannot shrink because others use the rest of the budget.
     */
    @Test
    void shrinksWhileOthersUseTheBudget() {
        MemoryBudget.Reservation reservation = mBudget.reserveNothing();
        assertThat(reservation.resize(3 * LARGE_BYTES)).isTrue();
        while (reserve(SMALL_BYTES)) {
            assertThat(mBudget.usedBytes()).isLessThanOrEqualTo(LIMIT_BYTES);
        }
        assertThat(reservation.resize(2 * LARGE_BYTES)).isTrue();
        assertThat(reservation.resize(3 * LARGE_BYTES)).isFalse();
    }
}
