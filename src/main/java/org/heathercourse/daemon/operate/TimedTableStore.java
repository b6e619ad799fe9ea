package org.heathercourse.daemon.operate;

import com.codahale.metrics.Meter;
import com.codahale.metrics.Timer;
import java.util.List;
import java.util.Optional;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/**
 * A table store that measures the duration and the failures of transactions: program log flushes,
 * heartbeats and configuration changes. Safe for use by several threads.
 */
public final class TimedTableStore implements TableStore {
    private final TableStore mStore;
    private final Timer mCommitTimer = new Timer();
    private final Meter mCommitFailures = new Meter();

    /**
     * Creates a timed store.
     *
     * @param store the store to delegate to
     */
    public TimedTableStore(TableStore store) {
        mStore = store;
    }

    /** Returns the timer of transactions, including failed ones. */
    public Timer commitTimer() {
        return mCommitTimer;
    }

    /**
     * Returns the meter of transactions that failed with a {@link StoreException}; conflicts are
     * not failures.
     */
    public Meter commitFailures() {
        return mCommitFailures;
    }

    @Override
    public Optional<Row> read(String key) {
        return mStore.read(key);
    }

    @Override
    public List<Row> scan(String prefix, String afterKey, int limit) {
        return mStore.scan(prefix, afterKey, limit);
    }

    @Override
    public CommitResult commit(Transaction transaction) {
        try (Timer.Context timing = mCommitTimer.time()) {
            return mStore.commit(transaction);
        } catch (StoreException e) {
            mCommitFailures.mark();
            throw e;
        }
    }
}
