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
 * A table store whose transactions are timed: flushes of the program log, heartbeats and changes of
 * the configuration. Safe for use by several threads.
 */
public final class TimedTableStore implements TableStore {
    private final TableStore mStore;
    private final Timer mCommitTimer = new Timer();
    private final Meter mCommitFailures = new Meter();

    /**
     * Creates a timed store.
     *
     * @param store the store that does the work
     */
    public TimedTableStore(TableStore store) {
        mStore = store;
    }

    /** Returns the times of transactions, failed ones included. */
    public Timer commitTimer() {
        return mCommitTimer;
    }

    /** Returns the transactions that the service did not answer. */
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
        try (Timer.Context running = mCommitTimer.time()) {
            return mStore.commit(transaction);
        } catch (StoreException e) {
            mCommitFailures.mark();
            throw e;
        }
    }
}
