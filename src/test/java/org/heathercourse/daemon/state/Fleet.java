package org.heathercourse.daemon.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.testing.ManualTicker;
import org.heathercourse.testing.memory.MemoryObjectStore;
import org.heathercourse.testing.memory.MemoryTableStore;
import org.heathercourse.testing.memory.StoreFaults;

/** Several engines over one in-memory store, whose steps are run by the test. Not thread-safe. */
final class Fleet {
    public final StoreFaults faults = new StoreFaults();
    public final MemoryTableStore table = new MemoryTableStore(faults);
    public final MemoryObjectStore objects = new MemoryObjectStore(faults);
    public final MemoryPeers peers = new MemoryPeers();
    public final ManualTicker ticker = new ManualTicker();
    public final Map<String, StateEngine> engines = new LinkedHashMap<>();
    public final int shards;

    /**
     * Whether the outage detector of each daemon reports that a majority cannot reach the store.
     */
    public volatile boolean majorityReportsOutage;

    Fleet(int shards) {
        this.shards = shards;
        ticker.advanceMillis(100_000);
    }

    StateEngine add(String vm, long incarnation) {
        DaemonInfo self =
                new DaemonInfo(
                        new VmId(vm),
                        incarnation,
                        new Zone("z"),
                        "127.0.0.1",
                        1,
                        2,
                        3,
                        0,
                        2_000,
                        false);
        StateEngine engine =
                StateEngine.builder(StateSettings.of(self, shards))
                        .store(table.viewFor(vm), objects.viewFor(vm))
                        .ticker(ticker)
                        .outageDetector(() -> majorityReportsOutage)
                        .peers(() -> peers.networkOf(vm))
                        .random(new Random(1))
                        .build();
        engine.acceptReplicas();
        engines.put(vm, engine);
        return engine;
    }

    /** Removes a daemon from the rounds, as by a pause, or a crash if it is not added again. */
    StateEngine stop(String vm) {
        return engines.remove(vm);
    }

    /** Advances by one second: a scan and flushes of each daemon, a heartbeat every two seconds. */
    void runSecond() {
        ticker.advanceMillis(1_000);
        boolean heartbeatDue = ticker.readMillis() / 1_000 % 2 == 0;
        for (StateEngine engine : List.copyOf(engines.values())) {
            if (heartbeatDue) {
                heartbeat(engine);
            }
            engine.scanStep();
            flush(engine);
        }
    }

    static void heartbeat(StateEngine engine) {
        Heartbeat.Step step = Heartbeat.Step.RETRY;
        for (int i = 0; i < 4 && step == Heartbeat.Step.RETRY; i++) {
            step = engine.heartbeatStep();
        }
    }

    void runSeconds(int count) {
        for (int i = 0; i < count; i++) {
            runSecond();
        }
    }

    /** Flushes until no work is left, at most 10 times. */
    static void flush(StateEngine engine) {
        for (int i = 0; i < 10; i++) {
            engine.backgroundStep();
            if (engine.flushStep() == CommitLoop.Step.IDLE) {
                return;
            }
        }
    }

    /** Returns the only daemon in the rounds with a valid lease for a shard. */
    StateEngine owner(ShardId shard) {
        List<StateEngine> owners = new ArrayList<>();
        engines.values().stream()
                .filter(engine -> engine.fence(shard).isPresent())
                .forEach(owners::add);
        if (owners.size() != 1) {
            throw new AssertionError(
                    "shard " + shard + " has " + owners.size() + " owners, expected 1");
        }
        return owners.get(0);
    }

    StateEngine owner(ProgramId program) {
        return owner(ShardId.of(program, shards));
    }

    // ---- Records

    static LogRecord started(ProgramId program, long budget, long reserved) {
        return new LogRecord.ProgramStarted(program, new WorkspaceId("w"), null, budget, reserved);
    }

    static LogRecord intent(ProgramId program, String request) {
        return new LogRecord.IntentRecorded(
                program, new RequestId(request), "digest", new TargetId("t"), 1);
    }

    static LogRecord completed(ProgramId program, String request, long cost, long reserveNext) {
        return completed(program, request, cost, reserveNext, "text of " + request);
    }

    static LogRecord completed(
            ProgramId program, String request, long cost, long reserveNext, String text) {
        return new LogRecord.CallCompleted(
                program,
                new RequestId(request),
                "digest",
                200,
                "application/json",
                text.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                List.of(new ChatMessage("assistant", text)),
                cost,
                reserveNext,
                new TargetId("t"));
    }

    /** Returns the error kind of a failed future, or null if it has not failed. */
    static String failureKind(CompletableFuture<Void> future) {
        if (!future.isCompletedExceptionally()) {
            return null;
        }
        try {
            future.join();
            return null;
        } catch (CompletionException e) {
            return ((HeathercourseException) e.getCause()).kind().wireName();
        }
    }
}
