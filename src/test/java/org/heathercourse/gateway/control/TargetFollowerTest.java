package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.target.ColdTargets;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.platform.entry.DeclaredRows;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowPage;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against one row that ends the following of a table, or hides the other rows of a read. */
class TargetFollowerTest {
    private static final String TABLE = "targets";

    private final TestTime mTime = new TestTime();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final ScriptedStore mStore = new ScriptedStore();
    private final ClusterView mClusterView = new ClusterView();

    /** Decodes each row as a target, except those whose decoding fails. */
    private static final class FailingRows implements DeclaredRows {
        @Override
        public RowKey configurationRow() {
            return row("configuration", 1).key();
        }

        @Override
        public Optional<Zone> evacuatedZone(RowKey key) {
            return Optional.empty();
        }

        @Override
        public boolean isEvacuation(StoredRow row) {
            return false;
        }

        @Override
        public String targetTable() {
            return TABLE;
        }

        @Override
        public RoutingTable routingTable(StoredRow row) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<Target> target(StoredRow row) {
            String key = row.key().key();
            if (key.startsWith("overflow")) {
                throw new StackOverflowError("deeply nested");
            }
            if (key.startsWith("invalid")) {
                throw new IllegalArgumentException("invalid");
            }
            return Optional.of(new Target(key, 0, "s", "10.0.0.1", 80, new Zone("z"), 1, false));
        }
    }

    /** A store whose snapshot is set, and whose reads of changes the test completes. */
    private static final class ScriptedStore implements RowStore {
        private final Deque<CompletableFuture<RowPage>> mReads = new ArrayDeque<>();
        private List<StoredRow> mSnapshot = List.of();

        @Override
        public CompletableFuture<RowPage> read(String table, String part, String fromKey) {
            return CompletableFuture.completedFuture(new RowPage(mSnapshot, false, 1));
        }

        @Override
        public CompletableFuture<StoredRow> read(RowKey key) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<RowPage> changes(String table, long afterVersion, long wait) {
            CompletableFuture<RowPage> read = new CompletableFuture<>();
            mReads.add(read);
            return read;
        }

        @Override
        public CompletableFuture<RowCommit> commit(RowTransaction transaction) {
            throw new UnsupportedOperationException();
        }

        void deliver(StoredRow... rows) {
            mReads.remove().complete(new RowPage(List.of(rows), false, 2));
        }
    }

    private static StoredRow row(String key, long version) {
        return new StoredRow(new RowKey(TABLE, "", key), new byte[0], version);
    }

    @BeforeEach
    void start() {
        mStore.mSnapshot = List.of(row("first", 1));
    }

    private TargetFollower follower() {
        TargetFollower follower =
                new TargetFollower(
                        new FailingRows(),
                        mStore,
                        mExecutor,
                        mTime.suspendAwareClock(),
                        mClusterView,
                        new ColdTargets(mTime.ticker()));
        follower.start();
        return follower;
    }

    private List<String> targets() {
        return mClusterView.targets().all().stream().map(Target::id).sorted().toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"overflow", "invalid"})
    void undecodableRowDoesNotHideOtherRowsOfChanges(String key) {
        follower();
        mStore.deliver(row("second", 2), row(key, 3), row("third", 4));
        assertThat(targets()).containsExactly("first", "second", "third");
        mStore.deliver(row("fourth", 5));
        assertThat(targets()).contains("fourth");
    }

    @ParameterizedTest
    @ValueSource(strings = {"overflow", "invalid"})
    void undecodableRowDoesNotHideOtherRowsOfSnapshot(String key) {
        mStore.mSnapshot = List.of(row(key, 1), row("second", 2));
        TargetFollower follower = follower();
        assertThat(targets()).containsExactly("second");
        assertThat(follower.freshness().ageMillis()).isZero();
    }

    /** Guards against rows of a read that are never read again because applying them failed. */
    @Test
    void rowsThatWereNotAppliedAreReadAgain() {
        int[] snapshots = new int[1];
        TableFollower follower =
                new TableFollower(
                        TABLE,
                        1_000,
                        mStore,
                        mExecutor,
                        mTime.suspendAwareClock(),
                        new TableFollower.Listener() {
                            @Override
                            public void onSnapshot(List<StoredRow> rows) {
                                snapshots[0]++;
                            }

                            @Override
                            public void onChanges(List<StoredRow> rows) {
                                throw new StackOverflowError("deeply nested");
                            }

                            @Override
                            public void onReadSucceeded(long sinceLastReadMillis) {}
                        });
        follower.start();
        assertThat(snapshots[0]).isEqualTo(1);
        mExecutor.advance(500);
        mStore.deliver(row("second", 2));
        assertThat(follower.freshness().ageMillis()).isEqualTo(500);
        mExecutor.advance(TableFollower.REAPPLY_DELAY_MILLIS);
        assertThat(snapshots[0]).isEqualTo(2);
        assertThat(follower.freshness().ageMillis()).isZero();
    }
}
