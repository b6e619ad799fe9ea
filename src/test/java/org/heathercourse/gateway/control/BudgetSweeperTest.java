package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.testing.hosted.MemoryRows;
import org.junit.jupiter.api.Test;

/** Guards against rows of ended programs that stay in the store for ever. */
class BudgetSweeperTest {
    private static final int ROWS = 120;
    private static final String PART = "3";

    private final TestTime mTime = new TestTime();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final MemoryRows mRows = new MemoryRows();
    private boolean mIsLeader = true;

    BudgetSweeperTest() {
        new BudgetSweeper(mRows, mExecutor, () -> mIsLeader).start();
        IntStream.range(0, ROWS).forEach(i -> write("w/ended-" + i));
    }

    private void write(String program) {
        RowKey key = new RowKey(BudgetLedger.TABLE, PART, program);
        byte[] value = "{}".getBytes(StandardCharsets.UTF_8);
        mRows.commit(RowTransaction.put(key, RowTransaction.ANY_VERSION, value));
    }

    private List<String> programs() {
        return mRows.read(BudgetLedger.TABLE, PART, "").join().rows().stream()
                .map(row -> row.key().key())
                .toList();
    }

    /** Advances the time in steps, so that each task runs at its time. */
    private void advancePeriods(double periods) {
        int steps = (int) (periods * BudgetLedger.TABLE_PARTS);
        for (int i = 0; i < steps; i++) {
            mExecutor.advance(BudgetSweeper.PERIOD_MILLIS / BudgetLedger.TABLE_PARTS);
        }
    }

    @Test
    void removesRowsThatWereNotWrittenForPeriod() {
        advancePeriods(2);
        assertThat(programs()).isEmpty();
    }

    @Test
    void keepsRowsForWholePeriod() {
        advancePeriods(1.125);
        assertThat(programs()).hasSize(ROWS);
    }

    @Test
    void keepsRowsThatAreWritten() {
        for (int i = 0; i < 32; i++) {
            advancePeriods(0.125);
            write("w/running");
        }
        assertThat(programs()).containsExactly("w/running");
    }

    /** A gateway that led before must not remove what others wrote since then. */
    @Test
    void newLeaderRemovesNothingAtItsFirstVisit() {
        advancePeriods(0.5);
        mIsLeader = false;
        advancePeriods(1);
        mIsLeader = true;
        advancePeriods(1);
        assertThat(programs()).hasSize(ROWS);
        advancePeriods(1);
        assertThat(programs()).isEmpty();
    }
}
