package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.heathercourse.core.crash.RequestDigest;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.limits.RateFractions;
import org.heathercourse.core.limits.ShareEpoch;
import org.heathercourse.core.limits.ShareTable;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.testing.hosted.MemoryRows;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against gateways that learn late which requests crash targets. */
class MembershipLoopTest {
    /** Time in milliseconds within which a gateway reads what is in the store. */
    private static final long MAX_DELAY_MILLIS = 2_000;

    private final TestTime mTime = new TestTime();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final MemoryRows mStore = new MemoryRows();
    private long mHeartbeat;

    private CrashRecordService createService() {
        return new CrashRecordService(
                mStore, mExecutor, mTime.suspendAwareClock(), new SplittableRandom(1));
    }

    private static Member member(int number, long heartbeat) {
        VmId vm = new VmId("vm%04d".formatted(number));
        return new Member(
                vm, 1, new Zone("z"), "h:80", "h", 81, MemberState.READY, heartbeat, 5_000, 0);
    }

    private void writeHeartbeats(int others) {
        mHeartbeat++;
        for (int i = 0; i < others; i++) {
            Member other = member(i, mHeartbeat);
            write("vm/" + other.vm().value(), other);
        }
    }

    private void write(String key, Object value) {
        RowKey row = new RowKey("member", "", key);
        byte[] json = JsonRowCodec.encode(value);
        mStore.commit(RowTransaction.put(row, RowTransaction.ANY_VERSION, json));
    }

    private void advance(long millis, int others) {
        for (long elapsed = 0; elapsed < millis; elapsed += 100) {
            if (mTime.ticker().readMillis() % 5_000 == 0) {
                writeHeartbeats(others);
            }
            mExecutor.advance(100);
        }
    }

    /** A large fleet reads all rows seldom; the crashes are read as often as in a small one. */
    @ParameterizedTest
    @ValueSource(ints = {1, 400})
    void learnsOfCrashWithinTwoSecondsInFleetsOfAnySize(int others) {
        ShareEpoch shares = ShareEpoch.first(new ShareTable(List.of("vm0000")));
        write("shares", shares);
        CrashRecordService reader = createService();
        CrashRecordService writer = createService();
        new MembershipLoop(
                        mStore,
                        mExecutor,
                        mTime.suspendAwareClock(),
                        new ClusterView(),
                        new RateFractions("vm9999", mTime.suspendAwareClock()),
                        reader,
                        member(9_999, 0),
                        () -> MemberState.READY)
                .start();
        advance(60_000, others);
        for (int i = 0; i < 20; i++) {
            RequestDigest digest = new RequestDigest("d" + i);
            writer.recordCrash(digest, "a", 5);
            advance(CrashRecordService.FLUSH_DELAY_MILLIS + 50 + MAX_DELAY_MILLIS, others);
            assertThat(reader.table().contains(digest)).as("crash %d", i).isTrue();
        }
    }
}
