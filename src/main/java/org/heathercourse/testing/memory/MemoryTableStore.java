package org.heathercourse.testing.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/** A table service in memory with transactions and injectable failures. Thread-safe. */
public final class MemoryTableStore {
    private final NavigableMap<String, Row> mRows = new TreeMap<>();
    private final StoreFaults mFaults;
    private final AtomicLong mCommitCount = new AtomicLong();
    private final AtomicLong mReadCount = new AtomicLong();
    private final AtomicLong mReadBytes = new AtomicLong();

    /** Creates an empty store whose operations are subject to the given failures. */
    public MemoryTableStore(StoreFaults faults) {
        mFaults = faults;
    }

    /** Returns the number of attempted transactions, including failed ones. */
    public long commitCount() {
        return mCommitCount.get();
    }

    /** Returns the number of attempted reads and scanned pages, including failed ones. */
    public long readCount() {
        return mReadCount.get();
    }

    /** Returns the total size of the values that were read, in bytes. */
    public long readBytes() {
        return mReadBytes.get();
    }

    /** Returns the number of rows whose keys start with a prefix. */
    public synchronized int count(String prefix) {
        return mRows.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /** Returns a view of the store that is subject to the failures of one caller. */
    public TableStore viewFor(String caller) {
        return new TableStore() {
            @Override
            public Optional<Row> read(String key) {
                mReadCount.incrementAndGet();
                mFaults.beforeRead(caller);
                return find(key);
            }

            @Override
            public List<Row> scan(String prefix, String afterKey, int limit) {
                mReadCount.incrementAndGet();
                mFaults.beforeRead(caller);
                return page(prefix, afterKey, limit);
            }

            @Override
            public CommitResult commit(Transaction transaction) {
                mCommitCount.incrementAndGet();
                mFaults.beforeWrite(caller, transaction.writes().get(0).key());
                CommitResult result = apply(transaction);
                mFaults.afterWrite(caller);
                return result;
            }
        };
    }

    private synchronized Optional<Row> find(String key) {
        Row row = mRows.get(key);
        if (row != null) {
            mReadBytes.addAndGet(row.value().length);
        }
        return Optional.ofNullable(row);
    }

    private synchronized List<Row> page(String prefix, String afterKey, int limit) {
        List<Row> page = new ArrayList<>();
        String from = afterKey.compareTo(prefix) > 0 ? afterKey : prefix;
        for (Row row : mRows.tailMap(from, true).values()) {
            if (page.size() == limit || !row.key().startsWith(prefix)) {
                break;
            }
            if (row.key().compareTo(afterKey) > 0) {
                page.add(row);
                mReadBytes.addAndGet(row.value().length);
            }
        }
        return page;
    }

    private synchronized CommitResult apply(Transaction transaction) {
        List<Row> conflictingRows = new ArrayList<>();
        boolean conditionsHold = true;
        for (Transaction.Write write : transaction.writes()) {
            Row row = mRows.get(write.key());
            long version = row == null ? Row.ABSENT : row.version();
            if (write.expectedVersion() != Transaction.ANY_VERSION
                    && write.expectedVersion() != version) {
                conditionsHold = false;
                if (row != null) {
                    conflictingRows.add(row);
                }
            }
        }
        return conditionsHold ? write(transaction) : new CommitResult(false, conflictingRows);
    }

    private CommitResult write(Transaction transaction) {
        List<Row> written = new ArrayList<>();
        for (Transaction.Write write : transaction.writes()) {
            if (write.value() == null) {
                mRows.remove(write.key());
                continue;
            }
            Row current = mRows.get(write.key());
            long version = current == null ? 1 : current.version() + 1;
            String commitId = transaction.commitId();
            mRows.put(write.key(), new Row(write.key(), version, commitId, write.value().clone()));
            written.add(new Row(write.key(), version, commitId, new byte[0]));
        }
        return new CommitResult(true, written);
    }
}
