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

/** A table service in memory with transactions and failures. Safe for use by several threads. */
public final class MemoryTableStore {
    private final NavigableMap<String, Row> mRows = new TreeMap<>();
    private final StoreFaults mFaults;
    private final AtomicLong mCommits = new AtomicLong();
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mReadBytes = new AtomicLong();

    /** Creates an empty store. */
    public MemoryTableStore(StoreFaults faults) {
        mFaults = faults;
    }

    /** Returns the number of transactions asked for. */
    public long commitCount() {
        return mCommits.get();
    }

    /** Returns the number of reads and scanned pages. */
    public long readCount() {
        return mReads.get();
    }

    /** Returns the bytes of the contents read. */
    public long readBytes() {
        return mReadBytes.get();
    }

    /** Returns the number of rows whose key has a prefix. */
    public synchronized int count(String prefix) {
        return mRows.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /** Returns the store as a caller sees it. */
    public TableStore viewFor(String caller) {
        return new TableStore() {
            @Override
            public Optional<Row> read(String key) {
                mReads.incrementAndGet();
                mFaults.beforeRead(caller);
                return find(key);
            }

            @Override
            public List<Row> scan(String prefix, String afterKey, int limit) {
                mReads.incrementAndGet();
                mFaults.beforeRead(caller);
                return page(prefix, afterKey, limit);
            }

            @Override
            public CommitResult commit(Transaction transaction) {
                mCommits.incrementAndGet();
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
        List<Row> unmet = new ArrayList<>();
        boolean met = true;
        for (Transaction.Write write : transaction.writes()) {
            Row row = mRows.get(write.key());
            long version = row == null ? Row.ABSENT : row.version();
            if (write.expectedVersion() != Transaction.ANY_VERSION
                    && write.expectedVersion() != version) {
                met = false;
                if (row != null) {
                    unmet.add(row);
                }
            }
        }
        return met ? write(transaction) : new CommitResult(false, unmet);
    }

    private CommitResult write(Transaction transaction) {
        List<Row> written = new ArrayList<>();
        for (Transaction.Write write : transaction.writes()) {
            if (write.value() == null) {
                mRows.remove(write.key());
                continue;
            }
            Row before = mRows.get(write.key());
            long version = before == null ? 1 : before.version() + 1;
            String commitId = transaction.commitId();
            mRows.put(write.key(), new Row(write.key(), version, commitId, write.value().clone()));
            written.add(new Row(write.key(), version, commitId, new byte[0]));
        }
        return new CommitResult(true, written);
    }
}
