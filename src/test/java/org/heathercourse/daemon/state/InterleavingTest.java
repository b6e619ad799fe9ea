package org.heathercourse.daemon.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.program.CallState;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random interleavings of several engines over one store with failures, compared with the sequence
 * of acknowledged records. {@code -Dinterleaving.seeds=N} runs N seeds, starting at {@code
 * -Dinterleaving.from}.
 */
class InterleavingTest {
    private static final int SHARDS = 4;
    private static final int PROGRAMS = 6;
    private static final int STEPS = 800;
    private static final String[] VMS = {"a", "b", "c"};

    private final Map<String, Long> mIncarnations = new HashMap<>();
    private final List<StateEngine> mStopped = new ArrayList<>();
    private final List<AppendAttempt> mAppends = new ArrayList<>();
    private final Map<String, Integer> mDispatches = new HashMap<>();
    private Fleet mFleet;
    private Random mRandom;
    private int mNextRequest;

    /** An append and its result. */
    private record AppendAttempt(
            ProgramId program, String request, boolean intent, CompletableFuture<Void> done) {
        boolean acknowledged() {
            return done.isDone() && !done.isCompletedExceptionally();
        }
    }

    static List<Long> seeds() {
        long from = Long.getLong("interleaving.from", 1);
        long count = Long.getLong("interleaving.seeds", 40);
        List<Long> seeds = new ArrayList<>();
        for (long seed = from; seed < from + count; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    /**
     * Guards against acknowledged records that are lost, duplicated, reordered or assigned to other
     * programs, against two owners of a shard, and against a second dispatch of a call.
     */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void acknowledgedRecordsSurviveAnyInterleaving(long seed) {
        mFleet = new Fleet(SHARDS);
        mRandom = new Random(seed);
        for (String vm : VMS) {
            mIncarnations.put(vm, 1L);
            mFleet.add(vm, 1);
        }
        mFleet.runSeconds(3);
        for (int step = 0; step < STEPS; step++) {
            randomStep();
            assertOneLeaseHolder();
        }
        mFleet.faults.clearFailures();
        for (String vm : VMS) {
            if (mFleet.engines.containsKey(vm)) {
                mStopped.add(mFleet.stop(vm));
            }
            restart(vm);
        }
        mStopped.forEach(Fleet::flush);
        mFleet.runSeconds(60);
        for (int p = 0; p < PROGRAMS; p++) {
            assertMatchesAcknowledged(new ProgramId("p" + p));
        }
        System.out.println("interleaving seed=" + seed + " " + summary());
        mDispatches.forEach((call, count) -> assertThat(count).as(call).isEqualTo(1));
    }

    private void randomStep() {
        String vm = VMS[mRandom.nextInt(VMS.length)];
        StateEngine engine = mFleet.engines.get(vm);
        int choice = mRandom.nextInt(100);
        if (choice < 18) {
            mFleet.ticker.advanceMillis(mRandom.nextInt(900));
        } else if (choice < 19) {
            mFleet.ticker.advanceMillis(mRandom.nextInt(9_000));
        } else if (choice < 22) {
            injectFault(vm);
        } else if (choice < 26) {
            mFleet.faults.clearFailures();
        } else if (choice < 27 && engine != null) {
            mStopped.add(mFleet.stop(vm));
        } else if (choice < 28 && engine != null) {
            engine.drain();
        } else if (engine == null) {
            if (choice < 45) {
                restart(vm);
            } else if (!mStopped.isEmpty()) {
                // A process that was considered dead was only paused and runs one more step.
                runStep(mStopped.get(mRandom.nextInt(mStopped.size())), choice);
            }
        } else {
            runStep(engine, choice);
        }
    }

    private void runStep(StateEngine engine, int choice) {
        if (choice < 40) {
            engine.heartbeatStep();
        } else if (choice < 60) {
            engine.scanStep();
        } else if (choice < 76) {
            engine.flushStep();
        } else if (choice < 80) {
            engine.backgroundStep();
        } else {
            append(engine);
        }
    }

    private void injectFault(String vm) {
        switch (mRandom.nextInt(6)) {
            case 0 -> mFleet.faults.loseReplies(vm, 1 + mRandom.nextInt(3));
            case 1 -> mFleet.faults.loseRequests(vm, 1 + mRandom.nextInt(3));
            case 2 -> mFleet.faults.setDisconnected(vm, mRandom.nextBoolean());
            case 3 -> mFleet.faults.setWriteOutage(mRandom.nextBoolean());
            case 4 -> mFleet.faults.crashAtWrite(vm, mRandom.nextInt(6), mRandom.nextBoolean());
            default -> mFleet.faults.setOutage(mRandom.nextInt(3) == 0);
        }
    }

    private void restart(String vm) {
        mFleet.add(vm, mIncarnations.merge(vm, 1L, Long::sum));
    }

    private void append(StateEngine any) {
        ProgramId program = new ProgramId("p" + mRandom.nextInt(PROGRAMS));
        ShardId shard = ShardId.of(program, SHARDS);
        // Usually the lease holder, occasionally a daemon that may have lost the shard.
        StateEngine engine =
                mFleet.engines.values().stream()
                        .filter(e -> mRandom.nextInt(4) > 0 && e.fence(shard).isPresent())
                        .findFirst()
                        .orElse(any);
        if (engine.find(program).isEmpty()) {
            mAppends.add(
                    new AppendAttempt(
                            program,
                            "",
                            false,
                            engine.append(program, List.of(Fleet.started(program, 1 << 30, 0)))));
            return;
        }
        if (mRandom.nextInt(3) == 0) {
            // A small set of identities, so that different daemons record the same intents.
            String request = "i" + mRandom.nextInt(40);
            LogRecord intent = Fleet.intent(program, request);
            CompletableFuture<Void> done = engine.append(program, List.of(intent));
            mAppends.add(new AppendAttempt(program, request, true, done));
            done.thenRun(() -> mDispatches.merge(program + "/" + request, 1, Integer::sum));
            return;
        }
        String request = "r" + mNextRequest++;
        String text =
                program + "/" + request + (mRandom.nextInt(20) == 0 ? "#".repeat(20_000) : "");
        LogRecord completed = Fleet.completed(program, request, 1, 0, text);
        mAppends.add(
                new AppendAttempt(
                        program, request, false, engine.append(program, List.of(completed))));
    }

    private void assertOneLeaseHolder() {
        List<StateEngine> all = new ArrayList<>(mFleet.engines.values());
        all.addAll(mStopped);
        for (int s = 0; s < SHARDS; s++) {
            ShardId shard = new ShardId(s);
            long holders = all.stream().filter(e -> e.fence(shard).isPresent()).count();
            assertThat(holders).isLessThanOrEqualTo(1);
        }
    }

    /** Returns counts that show that a run had failures and made progress. */
    private String summary() {
        long acknowledged = mAppends.stream().filter(AppendAttempt::acknowledged).count();
        long failed =
                mAppends.stream().filter(one -> one.done().isCompletedExceptionally()).count();
        long fences = 0;
        for (int s = 0; s < SHARDS; s++) {
            fences += mFleet.owner(new ShardId(s)).fence(new ShardId(s)).orElse(0);
        }
        return String.format(
                Locale.ROOT,
                "appends=%d acknowledged=%d failed=%d dispatched=%d fences=%d processes=%d",
                mAppends.size(),
                acknowledged,
                failed,
                mDispatches.size(),
                fences,
                mStopped.size() + VMS.length);
    }

    private void assertMatchesAcknowledged(ProgramId program) {
        List<String> acknowledged = new ArrayList<>();
        Map<String, AppendAttempt> completions = new LinkedHashMap<>();
        boolean started = false;
        for (AppendAttempt attempt : mAppends) {
            if (attempt.program().equals(program)) {
                started |= attempt.request().isEmpty() && attempt.acknowledged();
                if (!attempt.request().isEmpty() && !attempt.intent()) {
                    completions.put(attempt.request(), attempt);
                    if (attempt.acknowledged()) {
                        acknowledged.add(attempt.request());
                    }
                }
            }
        }
        if (!started) {
            assertThat(acknowledged).isEmpty();
            return;
        }
        ProgramState state = mFleet.owner(program).find(program).orElseThrow();
        List<String> found = new ArrayList<>();
        for (ChatMessage message : state.history()) {
            String[] parts = message.content().replace("#", "").split("/");
            assertThat(parts[0]).isEqualTo(program.value());
            found.add(parts[1]);
        }
        assertThat(found).doesNotHaveDuplicates();
        assertThat(found).containsSubsequence(acknowledged);
        assertThat(completions.keySet()).containsAll(found);
        assertThat(state.spentTokens()).isEqualTo(found.size());
        for (AppendAttempt attempt : mAppends) {
            if (attempt.program().equals(program) && attempt.intent() && attempt.acknowledged()) {
                CallState call = state.calls().get(new RequestId(attempt.request())).state();
                assertThat(call).isIn(CallState.INTENT, CallState.UNKNOWN);
            }
        }
    }
}
