package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.heathercourse.core.crash.Crash;
import org.heathercourse.core.crash.CrashEntry;
import org.heathercourse.core.crash.CrashTable;
import org.heathercourse.core.crash.RequestDigest;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.RowCommit;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;
import org.heathercourse.testing.hosted.MemoryRows;
import org.junit.jupiter.api.Test;

/** Guards against a removal that undoes a gateway's write, or is reported wrongly. */
class CrashTableEditorTest {
    private static final RequestDigest KILLER = new RequestDigest("killer");
    private static final RequestDigest OTHER = new RequestDigest("other");

    private final MemoryRows mRows = new MemoryRows();
    private final ManualExecutor mExecutor = new ManualExecutor(new TestTime());
    private final Deque<Function<RowTransaction, CompletableFuture<RowCommit>>> mFaults =
            new ArrayDeque<>();

    /** A store with a fault for each of the next commits. */
    private Object callStore(Object proxy, Method method, Object[] arguments) throws Exception {
        return method.getName().equals("commit") && !mFaults.isEmpty()
                ? mFaults.remove().apply((RowTransaction) arguments[0])
                : method.invoke(mRows, arguments);
    }

    private CrashTableEditor editor(long nowMillis) {
        Clock clock = Clock.fixed(Instant.ofEpochMilli(nowMillis), ZoneOffset.UTC);
        Class<?>[] types = {RowStore.class};
        RowStore store =
                (RowStore)
                        Proxy.newProxyInstance(
                                RowStore.class.getClassLoader(), types, this::callStore);
        return new CrashTableEditor(store, mExecutor, clock, new SplittableRandom(1));
    }

    private void crash(RequestDigest digest, String target) {
        byte[] value =
                JsonRowCodec.encode(storedTable().withCrash(digest, new Crash(target, "g", -1, 0)));
        mRows.commit(RowTransaction.put(CrashRecordService.ROW, RowTransaction.ANY_VERSION, value));
    }

    private CompletableFuture<RowCommit> conflict(RowTransaction transaction) {
        crash(OTHER, "a");
        return mRows.commit(transaction);
    }

    private CompletableFuture<RowCommit> loseReply(RowTransaction transaction) {
        mRows.commit(transaction);
        return CompletableFuture.failedFuture(StoreException.outcomeUnknown("lost", null));
    }

    private CrashTable storedTable() {
        StoredRow row = mRows.read(CrashRecordService.ROW).join();
        return row.exists()
                ? JsonRowCodec.decode(row, CrashTable.class).orElseThrow()
                : CrashTable.EMPTY;
    }

    private static List<String> digests(CrashTableEditor.Cleared cleared) {
        return cleared.entries().stream().map(CrashEntry::digest).toList();
    }

    /** Guards against the loss of a crash that a gateway writes at the same time. */
    @Test
    void keepsGatewaysWriteOnConflictAndReportsRemovalWithLostReply() {
        crash(KILLER, "a");
        mFaults.add(this::conflict);
        mFaults.add(this::loseReply);
        CompletableFuture<CrashTableEditor.Cleared> cleared = editor(0).clear(KILLER);
        mExecutor.advance(CrashRecordService.MAX_CONFLICT_DELAY_MILLIS);
        assertThat(digests(cleared.join())).containsExactly("killer");
        assertThat(storedTable().entries()).extracting(CrashEntry::digest).containsExactly("other");
    }

    /** Guards against a command that never ends while gateways write. */
    @Test
    void givesUpAfterManyConflicts() {
        crash(KILLER, "a");
        for (int i = 0; i < CrashTableEditor.MAX_CONFLICTS; i++) {
            mFaults.add(this::conflict);
        }
        CompletableFuture<CrashTableEditor.Cleared> cleared = editor(0).clearAll();
        for (int i = 0; i < CrashTableEditor.MAX_CONFLICTS; i++) {
            mExecutor.advance(CrashRecordService.MAX_CONFLICT_DELAY_MILLIS);
        }
        assertThatThrownBy(() -> cleared.getNow(null)).hasMessageContaining("wrote first");
        assertThat(storedTable().contains(KILLER)).isTrue();
    }

    /** Guards against a wrong operator's clock that ends quarantines, and against a lost row. */
    @Test
    void keepsExpiredEntriesAndTheRow() {
        crash(KILLER, "a");
        long version = mRows.read(CrashRecordService.ROW).join().version();
        assertThat(digests(editor(CrashTable.EXPIRY_MILLIS).clearAll().join())).isEmpty();
        assertThat(storedTable().contains(KILLER)).isTrue();
        assertThat(digests(editor(0).clearAll().join())).containsExactly("killer");
        assertThat(mRows.read(CrashRecordService.ROW).join().version()).isGreaterThan(version);
    }
}
