package org.heathercourse.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against directing callers to a gateway that was killed long ago, beside one that runs. A
 * model of the membership loop: each gateway writes its row and then reads all of them.
 */
class RecentContactsTest {
    private static final Zone ZONE = new Zone("z");
    private static final long PERIOD_MILLIS = 1_500;
    private static final long STEP_MILLIS = 50;

    /** Time in milliseconds for which a killed gateway may still be named. */
    private static final long MAX_NAMED_MILLIS = 7_000;

    /** Time in milliseconds until a gateway that runs is named at the latest. */
    private static final long MAX_CONFIRM_MILLIS = 3 * PERIOD_MILLIS;

    private static final int SELF = 0;
    private static final int KILLED = 1;
    private static final int RUNNING = 2;

    private final TestTime mTime = new TestTime();
    private final long[] mHeartbeats = new long[3];
    private Liveness mLiveness;
    private RecentContacts mContacts;
    private Fleet mFleet;
    private long mNowMillis;
    private long mOutageFromMillis = Long.MAX_VALUE;
    private long mOutageToMillis = Long.MAX_VALUE;
    private long mKilledMillis = Long.MAX_VALUE;

    private static Member member(int number, long heartbeat) {
        String vm = "vm" + number;
        return new Member(
                new VmId(vm), 1, ZONE, vm, vm, 81, MemberState.READY, heartbeat, PERIOD_MILLIS, 0);
    }

    private void restartSelf() {
        mLiveness = new Liveness(mTime.suspendAwareClock());
        mContacts = new RecentContacts(new VmId("vm" + SELF), mTime.suspendAwareClock());
        mFleet = Fleet.UNKNOWN;
    }

    private List<String> named() {
        return mFleet.recommendedAddresses(
                ZONE, 64, new SplittableRandom(1), new VmId("vm" + SELF), mContacts::isConfirmed);
    }

    private boolean isStoreDown() {
        return mNowMillis >= mOutageFromMillis && mNowMillis < mOutageToMillis;
    }

    /** Advances by a step; the killed gateway writes at its own phase. */
    private void step(long phaseMillis) {
        mTime.advanceMillis(STEP_MILLIS);
        mNowMillis += STEP_MILLIS;
        if (isStoreDown()) {
            return;
        }
        if (mNowMillis % PERIOD_MILLIS == phaseMillis) {
            mHeartbeats[RUNNING]++;
            if (mNowMillis <= mKilledMillis) {
                mHeartbeats[KILLED]++;
            }
        }
        if (mNowMillis % PERIOD_MILLIS == 0) {
            mHeartbeats[SELF]++;
            List<Member> rows = new ArrayList<>();
            for (int i = 0; i < mHeartbeats.length; i++) {
                rows.add(member(i, mHeartbeats[i]));
            }
            mFleet = mLiveness.update(rows);
            mContacts.record(mFleet);
        }
    }

    /** Runs until a time; from the given time on, requires what the directory must keep to. */
    private void run(long untilMillis, long phaseMillis, long restartMillis) {
        long confirmedFrom = MAX_CONFIRM_MILLIS;
        while (mNowMillis < untilMillis) {
            step(phaseMillis);
            if (mNowMillis == restartMillis) {
                restartSelf();
                confirmedFrom = mNowMillis + MAX_CONFIRM_MILLIS;
            }
            List<String> named = named();
            if (mNowMillis > mKilledMillis + MAX_NAMED_MILLIS) {
                assertThat(named).as("at %d ms", mNowMillis).doesNotContain("vm" + KILLED);
            }
            boolean calm = mNowMillis < mOutageFromMillis;
            boolean regained = mNowMillis > mOutageToMillis + MAX_CONFIRM_MILLIS;
            if ((calm || regained) && mNowMillis > confirmedFrom) {
                assertThat(named).as("at %d ms", mNowMillis).contains("vm" + SELF, "vm" + RUNNING);
            }
        }
    }

    /** Guards against the figures of the loop: a heartbeat is late by a read, and read late. */
    @ParameterizedTest
    @ValueSource(longs = {0, 50, 700, 1_450})
    void killedGatewayIsNamedForSevenSecondsAtMost(long phaseMillis) {
        restartSelf();
        mKilledMillis = 12_000 + phaseMillis;
        run(mKilledMillis, phaseMillis, -1);
        assertThat(named()).contains("vm" + KILLED);
        run(60_000, phaseMillis, -1);
    }

    /** Guards against a gateway that takes all rows for live when it starts. */
    @ParameterizedTest
    @CsvSource({"50,0", "50,1500", "700,6500", "1450,7500", "700,20000", "50,50000"})
    void restartedGatewayDoesNotNameKilledOne(long phaseMillis, long afterMillis) {
        restartSelf();
        mKilledMillis = 12_000 + phaseMillis;
        long restart = (mKilledMillis + afterMillis) / STEP_MILLIS * STEP_MILLIS;
        run(restart + 30_000, phaseMillis, restart);
    }

    /** Guards against an outage of the store after which all rows count as live once more. */
    @ParameterizedTest
    @CsvSource({
        "0,4000,50",
        "0,9000,700",
        "-2000,4000,1450",
        "-3000,9000,700",
        "2000,9000,50",
        "6000,4000,1450",
        "8000,9000,700"
    })
    void killedGatewayIsNotNamedAfterOutage(long fromMillis, long lengthMillis, long phaseMillis) {
        restartSelf();
        mKilledMillis = 15_000 + phaseMillis;
        mOutageFromMillis = mKilledMillis + fromMillis;
        mOutageToMillis = mOutageFromMillis + lengthMillis;
        run(60_000, phaseMillis, -1);
    }

    /** Guards against an answer without any address where nothing is known for certain. */
    @Test
    void unconfirmedGatewaysAreNamedIfNoOtherIsKnown() {
        restartSelf();
        Fleet fleet = new Fleet(List.of(member(KILLED, 1), member(RUNNING, 1)));
        mContacts.record(fleet);
        assertThat(
                        fleet.recommendedAddresses(
                                ZONE,
                                64,
                                new SplittableRandom(1),
                                new VmId("vm" + SELF),
                                mContacts::isConfirmed))
                .hasSize(2);
    }

    /**
     * Guards against gateways of a large fleet that are left out although they run: its rows are
     * read with every third heartbeat, so that a killed one is named for longer than 7 s there.
     */
    @ParameterizedTest
    @CsvSource({"65,1500", "400,5000"})
    void gatewaysOfLargeFleetStayNamed(int count, long periodMillis) {
        RecentContacts contacts =
                new RecentContacts(new VmId("vm" + SELF), mTime.suspendAwareClock());
        long readIntervalMillis = MemberReadPolicy.CALM_READ_INTERVAL * periodMillis + 300;
        for (int read = 0; read < 6; read++) {
            List<Member> members = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String vm = "vm" + i;
                members.add(
                        new Member(
                                new VmId(vm),
                                1,
                                ZONE,
                                vm,
                                vm,
                                81,
                                MemberState.READY,
                                3L * read,
                                periodMillis,
                                0));
            }
            contacts.record(new Fleet(members));
            for (long elapsed = 0; elapsed < readIntervalMillis; elapsed += 100) {
                if (read > 0) {
                    assertThat(members).allMatch(contacts::isConfirmed);
                }
                mTime.advanceMillis(100);
            }
        }
    }
}
