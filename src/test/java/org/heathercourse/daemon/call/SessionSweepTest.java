package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against engine memory that stays held after an owner died before it recorded the use. */
class SessionSweepTest {
    private static final String OWN = "hc." + CallFixture.PROGRAM.value();

    private final ManualTicker mTicker = new ManualTicker();
    private final FakeShards mShards = FakeShards.alone();
    private final CallFixture mFixture = new CallFixture(CallSettings.DEFAULT, mShards, mTicker);
    private final SessionSweep mSweep =
            new SessionSweep(
                    mFixture.services,
                    new Recorder(mFixture.services),
                    Runnable::run,
                    program -> false);

    @AfterEach
    void close() {
        mFixture.close();
    }

    private void rounds(int count) {
        for (int i = 0; i < count; i++) {
            mTicker.advanceMillis(5_000);
            mSweep.run();
        }
    }

    private List<String> releasedSessions() {
        return mFixture.targets.released.stream()
                .map(r -> r.substring(r.indexOf('/') + 1))
                .distinct()
                .toList();
    }

    @Test
    void orphansAreReleasedAfterTwoRounds() {
        mFixture.targets.sessions.addAll(
                List.of("hc.gone", "hc-eph.vm-9.1.00", "hc-eph.vm-1.1.00", "other"));
        rounds(1);
        assertThat(releasedSessions()).isEmpty();
        rounds(1);
        assertThat(releasedSessions()).containsExactly("hc.gone", "hc-eph.vm-9.1.00");
    }

    @Test
    void sessionsOfLivingProgramsAreKept() {
        mFixture.log.append(
                CallFixture.PROGRAM,
                List.of(
                        new LogRecord.ProgramStarted(
                                CallFixture.PROGRAM, CallFixture.WORKSPACE, null, 10, 0)));
        mFixture.targets.sessions.add(OWN);
        rounds(3);
        assertThat(releasedSessions()).isEmpty();
        mFixture.log.append(
                CallFixture.PROGRAM,
                List.of(new LogRecord.ProgramEnded(CallFixture.PROGRAM, "completed")));
        rounds(2);
        assertThat(releasedSessions()).containsExactly(OWN);
    }

    @Test
    void sessionsOfOtherOwnersAreLeftToThem() {
        mShards.owner = FakeShards.daemon("vm-2", 4);
        mFixture.targets.sessions.add("hc.gone");
        rounds(3);
        assertThat(releasedSessions()).isEmpty();
    }
}
