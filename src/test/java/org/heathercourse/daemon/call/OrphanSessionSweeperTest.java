package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against engine memory that leaks when an owner dies before it records the use. */
class OrphanSessionSweeperTest {
    private static final String PROGRAM_SESSION = "hc." + CallFixture.PROGRAM.value();

    private final ManualTicker mTicker = new ManualTicker();
    private final FakeShards mShards = FakeShards.ownerOfAll();
    private final CallFixture mFixture = new CallFixture(CallSettings.DEFAULT, mShards, mTicker);
    private final OrphanSessionSweeper mSweeper =
            new OrphanSessionSweeper(
                    mFixture.dependencies,
                    new ProgramRecorder(mFixture.dependencies),
                    Runnable::run,
                    program -> false);

    @AfterEach
    void close() {
        mFixture.close();
    }

    private void runRounds(int count) {
        for (int i = 0; i < count; i++) {
            mTicker.advanceMillis(5_000);
            mSweeper.run();
        }
    }

    private List<String> releasedSessions() {
        return mFixture.targets.releasedSessions.stream()
                .map(r -> r.substring(r.indexOf('/') + 1))
                .distinct()
                .toList();
    }

    @Test
    void orphansAreReleasedAfterTwoRounds() {
        mFixture.targets.sessions.addAll(
                List.of("hc.gone", "hc-eph.vm-9.1.00", "hc-eph.vm-1.1.00", "other"));
        runRounds(1);
        assertThat(releasedSessions()).isEmpty();
        runRounds(1);
        assertThat(releasedSessions()).containsExactly("hc.gone", "hc-eph.vm-9.1.00");
    }

    @Test
    void sessionsOfRunningProgramsAreKept() {
        mFixture.log.append(
                CallFixture.PROGRAM,
                List.of(
                        new LogRecord.ProgramStarted(
                                CallFixture.PROGRAM, CallFixture.WORKSPACE, null, 10, 0)));
        mFixture.targets.sessions.add(PROGRAM_SESSION);
        runRounds(3);
        assertThat(releasedSessions()).isEmpty();
        mFixture.log.append(
                CallFixture.PROGRAM,
                List.of(new LogRecord.ProgramEnded(CallFixture.PROGRAM, "completed")));
        runRounds(2);
        assertThat(releasedSessions()).containsExactly(PROGRAM_SESSION);
    }

    @Test
    void sessionsOfOtherOwnersAreKept() {
        mShards.owner = FakeShards.daemon("vm-2", 4);
        mFixture.targets.sessions.add("hc.gone");
        runRounds(3);
        assertThat(releasedSessions()).isEmpty();
    }
}
