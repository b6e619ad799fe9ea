package org.heathercourse.testing.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.awaitility.Awaitility.await;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.Transaction;
import org.heathercourse.platform.VmList;
import org.heathercourse.platform.http.HttpObjectStore;
import org.heathercourse.platform.http.HttpSettings;
import org.heathercourse.platform.http.HttpTableStore;
import org.heathercourse.platform.http.HttpTransport;
import org.heathercourse.platform.http.HttpVmList;
import org.heathercourse.platform.http.HttpWeightStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the store adapters against their stand-ins. */
class StoreStandInTest {
    private final Fixture mFixture = new Fixture(EngineSettings.DEFAULT);
    private final StandIns mStandIns = mFixture.mStandIns;
    private final HttpTableStore mTable =
            new HttpTableStore(mFixture.mTransport, mStandIns.baseUrl("table"));
    private final HttpObjectStore mObjects =
            new HttpObjectStore(mFixture.mTransport, mStandIns.baseUrl("objects"));

    @AfterEach
    void close() {
        mFixture.close();
    }

    /** Guards against transactions that ignore a condition or are applied partially. */
    @Test
    void transactionsAreAppliedAtomically() {
        CommitResult first = put("c1", "a/1", Row.ABSENT);
        assertThat(first.committed()).isTrue();
        CommitResult second =
                mTable.commit(
                        Transaction.builder("c2")
                                .put("a/2", Row.ABSENT, bytes("x"))
                                .put("a/1", 7, bytes("y"))
                                .build());
        assertThat(second.committed()).isFalse();
        assertThat(second.rows()).extracting(Row::version).containsExactly(1L);
        assertThat(second.rows().get(0).value()).isEqualTo(bytes("c1"));
        assertThat(mTable.read("a/2")).isEmpty();
        assertThat(put("c3", "a/1", 1).rows().get(0).version()).isEqualTo(2);
        assertThat(mTable.read("a/1").orElseThrow().commitId()).isEqualTo("c3");
        assertThat(mStandIns.stat("table_writes")).isEqualTo(3);
        assertThat(mStandIns.stat("table_reads")).isEqualTo(2);
    }

    /** Guards against scans that skip rows between pages or return rows beyond the prefix. */
    @Test
    void scansReturnPagesWithinPrefix() {
        for (String key : List.of("a", "b/1", "b/2", "b/3", "c")) {
            put("c", key, Transaction.ANY_VERSION);
        }
        assertThat(mTable.scan("b/", "", 2)).extracting(Row::key).containsExactly("b/1", "b/2");
        assertThat(mTable.scan("b/", "b/2", 2)).extracting(Row::key).containsExactly("b/3");
    }

    /** Guards against a lost reply that is reported as a write without effect. */
    @Test
    void writeWithLostReplyTakesEffectWithUnknownOutcome() {
        mStandIns.setFault("table", Fault.LOSE_REPLY, 1, 1);
        assertThat(failureOf(() -> put("c1", "k", Row.ABSENT)).outcomeUnknown()).isTrue();
        assertThat(mTable.read("k").orElseThrow().commitId()).isEqualTo("c1");
        mStandIns.setFault("objects", Fault.LOSE_REPLY, 1, 1);
        assertThat(failureOf(() -> mObjects.put("o", bytes("x"))).outcomeUnknown()).isTrue();
        assertThat(mObjects.get("o")).contains(bytes("x"));
    }

    /** Guards against a refused connection that is reported as an unknown outcome. */
    @Test
    void refusedConnectionHasKnownOutcome() {
        put("c0", "warm", Row.ABSENT);
        mStandIns.setFault("table", Fault.REFUSE, 1, 0);
        // The first request may still use a pooled connection that is being closed.
        assertThatThrownBy(() -> put("c1", "k", Row.ABSENT)).isInstanceOf(StoreException.class);
        assertThat(failureOf(() -> put("c2", "k", Row.ABSENT)).outcomeUnknown()).isFalse();
        mStandIns.clearFaults("table");
        assertThat(mTable.read("k")).isEmpty();
    }

    /** Guards against an outage, a timeout or a failed request that is reported as no effect. */
    @Test
    void failureAfterConnectingHasUnknownOutcome() {
        mStandIns.setFault("table", Fault.OUTAGE, 1, 1);
        assertThat(failureOf(() -> put("c1", "k", Row.ABSENT)).outcomeUnknown()).isTrue();
        assertThat(mTable.read("k")).isEmpty();
        mStandIns.setFault("table", Fault.FAIL_RATE, 1, 1);
        assertThat(failureOf(() -> put("c1", "k", Row.ABSENT)).outcomeUnknown()).isTrue();
        mStandIns.setFault("table", Fault.DELAY_MS, 60_000, 1);
        try (HttpTransport shortTimeoutTransport =
                new HttpTransport(
                        HttpSettings.builder().callTimeoutMillis(Fixture.SHORT_MILLIS).build())) {
            HttpTableStore table =
                    new HttpTableStore(shortTimeoutTransport, mStandIns.baseUrl("table"));
            Transaction delayed =
                    Transaction.builder("c1").put("k", Row.ABSENT, bytes("c1")).build();
            assertThat(failureOf(() -> table.commit(delayed)).outcomeUnknown()).isTrue();
            mStandIns.setFault("table", Fault.PAUSE, 0, 0);
            assertThat(failureOf(() -> table.read("k")).outcomeUnknown()).isTrue();
        }
        mStandIns.clearFaults("");
        assertThat(mTable.read("k")).isEmpty();
    }

    /** Guards against a stand-in that drops a delayed write, which the real store executes. */
    @Test
    void delayedWriteTakesEffectAfterClientTimeout() {
        try (HttpTransport shortTimeoutTransport =
                new HttpTransport(
                        HttpSettings.builder().callTimeoutMillis(Fixture.SHORT_MILLIS).build())) {
            HttpTableStore table =
                    new HttpTableStore(shortTimeoutTransport, mStandIns.baseUrl("table"));
            mStandIns.setFault("table", Fault.DELAY_MS, 2 * Fixture.SHORT_MILLIS, 1);
            Transaction delayed =
                    Transaction.builder("c1").put("k", Row.ABSENT, bytes("c1")).build();
            assertThat(failureOf(() -> table.commit(delayed)).outcomeUnknown()).isTrue();
        }
        await().until(() -> mTable.read("k").isPresent());
    }

    /** Guards against objects that are overwritten with other content. */
    @Test
    void objectsAreWrittenOnce() {
        mObjects.put("log/1/2", bytes("x"));
        mObjects.put("log/1/2", bytes("x"));
        assertThatThrownBy(() -> mObjects.put("log/1/2", bytes("y")))
                .isInstanceOf(HeathercourseException.class)
                .hasMessageContaining("other content");
        mObjects.put("snap/1", new byte[0]);
        assertThat(mObjects.list("log/")).containsExactly("log/1/2");
        mObjects.delete("log/1/2");
        mObjects.delete("log/1/2");
        assertThat(mObjects.get("log/1/2")).isEmpty();
    }

    /** Guards against a VM list without lag or stale entries, both of which the platform has. */
    @Test
    void vmListLagsAndListsRemovedVmsAgain() {
        HttpVmList vms = new HttpVmList(mFixture.mTransport, mStandIns.baseUrl("vmlist"));
        mStandIns.setVm("vm-1", 3, "cesis", "live");
        assertThat(vms.list()).extracting(VmList.Entry::incarnation).containsExactly(3L);
        mStandIns.setFault("vmlist", Fault.LAG_MS, 3_600_000, 0);
        assertThat(vms.list()).isEmpty();
        mStandIns.clearFaults("vmlist");
        mStandIns.setVm("vm-1", 3, "cesis", "gone");
        assertThat(vms.list()).isEmpty();
        mStandIns.relistVm("vm-1");
        assertThat(vms.list()).extracting(VmList.Entry::incarnation).containsExactly(3L);
    }

    /** Guards against a weight store adapter that parses the bandwidth wrongly. */
    @Test
    void weightStoreReportsBandwidth() {
        HttpWeightStore weights =
                new HttpWeightStore(mFixture.mTransport, mStandIns.baseUrl("weights"));
        assertThat(weights.status().bytesPerSecond()).isEqualTo(100_000_000);
    }

    private CommitResult put(String commitId, String key, long version) {
        return mTable.commit(
                Transaction.builder(commitId).put(key, version, bytes(commitId)).build());
    }

    private static StoreException failureOf(Runnable action) {
        return catchThrowableOfType(StoreException.class, action::run);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
