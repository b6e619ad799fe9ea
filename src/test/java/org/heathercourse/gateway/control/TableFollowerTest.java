package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes that are missed because a table has several pages, each read at another
 * moment: a target that begins to leave between two of them would get requests for good.
 */
class TableFollowerTest {
    private static final String TABLE = "targets";

    private final TestTime mTime = new TestTime();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final PagedStore mStore = new PagedStore();

    /** Rows by key, as the listener has them. */
    private final Map<String, Long> mSeen = new TreeMap<>();

    /** A store that returns two rows a page, and changes rows between two pages. */
    private static final class PagedStore implements RowStore {
        private static final int PAGE_ROWS = 2;

        private final TreeMap<String, Long> mRows = new TreeMap<>();
        private final List<StoredRow> mHistory = new ArrayList<>();
        private final List<Long> mHistoryVersions = new ArrayList<>();
        private final List<Long> mChangesAfter = new ArrayList<>();
        private Runnable mAfterFirstPage = () -> {};
        private long mVersion;

        void put(String key) {
            mRows.put(key, ++mVersion);
            record(new StoredRow(key(key), new byte[0], mVersion));
        }

        void remove(String key) {
            mRows.remove(key);
            ++mVersion;
            record(StoredRow.absent(key(key)));
        }

        private void record(StoredRow row) {
            mHistory.add(row);
            mHistoryVersions.add(mVersion);
        }

        private static RowKey key(String key) {
            return new RowKey(TABLE, "", key);
        }

        @Override
        public CompletableFuture<RowPage> read(String table, String part, String fromKey) {
            List<StoredRow> rows =
                    mRows.tailMap(fromKey).entrySet().stream()
                            .limit(PAGE_ROWS)
                            .map(e -> new StoredRow(key(e.getKey()), new byte[0], e.getValue()))
                            .toList();
            boolean hasMore = mRows.tailMap(fromKey).size() > PAGE_ROWS;
            RowPage page = new RowPage(rows, hasMore, mVersion);
            if (fromKey.isEmpty()) {
                mAfterFirstPage.run();
            }
            return CompletableFuture.completedFuture(page);
        }

        @Override
        public CompletableFuture<StoredRow> read(RowKey key) {
            throw new UnsupportedOperationException();
        }

        /** Returns one change a read, and no reply once there are no more. */
        @Override
        public CompletableFuture<RowPage> changes(String table, long afterVersion, long wait) {
            mChangesAfter.add(afterVersion);
            for (int i = 0; i < mHistory.size(); i++) {
                if (mHistoryVersions.get(i) > afterVersion) {
                    return CompletableFuture.completedFuture(
                            new RowPage(List.of(mHistory.get(i)), false, mHistoryVersions.get(i)));
                }
            }
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<RowCommit> commit(RowTransaction transaction) {
            throw new UnsupportedOperationException();
        }
    }

    /** Keeps the rows, and checks that none goes back to an older version. */
    private final class Recorder implements TableFollower.Listener {
        @Override
        public void onSnapshot(List<StoredRow> rows) {
            mSeen.clear();
            rows.forEach(row -> mSeen.put(row.key().key(), row.version()));
        }

        @Override
        public void onChanges(List<StoredRow> rows) {
            for (StoredRow row : rows) {
                String key = row.key().key();
                if (row.exists()) {
                    assertThat(row.version()).isGreaterThan(mSeen.getOrDefault(key, 0L));
                    mSeen.put(key, row.version());
                } else {
                    mSeen.remove(key);
                }
            }
        }

        @Override
        public void onReadSucceeded(long sinceLastReadMillis) {}
    }

    private void follow() {
        new TableFollower(
                        TABLE, 1_000, mStore, mExecutor, mTime.suspendAwareClock(), new Recorder())
                .start();
    }

    @Test
    void rowsThatChangeAppearAndGoBetweenPagesAreSeen() {
        for (String key : List.of("a", "b", "c", "d", "e")) {
            mStore.put(key);
        }
        mStore.mAfterFirstPage =
                () -> {
                    mStore.put("a");
                    mStore.remove("b");
                    mStore.put("aa");
                    mStore.put("d");
                    mStore.put("d");
                    mStore.remove("e");
                    mStore.put("e");
                    mStore.mAfterFirstPage = () -> {};
                };
        follow();
        assertThat(mSeen).isEqualTo(mStore.mRows);
        assertThat(mStore.mChangesAfter.get(0)).isEqualTo(5);
    }

    @Test
    void snapshotOfOnePageIsFollowedByItsOwnChanges() {
        mStore.put("a");
        mStore.mAfterFirstPage =
                () -> {
                    mStore.put("a");
                    mStore.mAfterFirstPage = () -> {};
                };
        follow();
        assertThat(mSeen).isEqualTo(mStore.mRows);
        assertThat(mStore.mChangesAfter.get(0)).isEqualTo(1);
    }
}
