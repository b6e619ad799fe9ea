package org.heathercourse.daemon.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.platform.Row;
import org.heathercourse.testing.memory.MemoryObjectStore;
import org.heathercourse.testing.memory.MemoryTableStore;
import org.heathercourse.testing.memory.StoreFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Engines that run on their own executors in real time. */
class RunningEngineTest {
    private static final int SHARDS = 4;
    private static final ProgramId P = new ProgramId("p1");

    private final StoreFaults mFaults = new StoreFaults();
    private final MemoryTableStore mTable = new MemoryTableStore(mFaults);
    private final MemoryObjectStore mObjects = new MemoryObjectStore(mFaults);
    private final List<StateEngine> mEngines = new ArrayList<>();
    private final List<StateExecutors> mExecutors = new ArrayList<>();

    private StateEngine start(String vm) {
        DaemonInfo self =
                new DaemonInfo(
                        new VmId(vm), 1, new Zone("z"), "127.0.0.1", 1, 2, 3, 0, 2_000, false);
        StateExecutors executors = StateExecutors.create();
        mExecutors.add(executors);
        StateEngine engine =
                StateEngine.builder(StateSettings.of(self, SHARDS))
                        .store(mTable.viewFor(vm), mObjects.viewFor(vm))
                        .ticker(Ticker.system())
                        .random(new Random(1))
                        .executors(executors)
                        .handoverListener(
                                (shard, next) -> mEngines.forEach(StateEngine::requestScan))
                        .build();
        mEngines.add(engine);
        engine.start();
        return engine;
    }

    @AfterEach
    void stop() {
        mEngines.forEach(StateEngine::close);
        mExecutors.forEach(StateExecutors::shutdown);
    }

    private static boolean ownsAll(StateEngine engine) {
        for (int s = 0; s < SHARDS; s++) {
            if (engine.fence(new ShardId(s)).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    private long heartbeatVersion(String vm) {
        return mTable.viewFor("x")
                .read(StoreRows.daemonKey(new VmId(vm)))
                .map(Row::version)
                .orElse(0L);
    }

    /** Guards against a slow commit that blocks the heartbeats, so that all shards are lost. */
    @Test
    @Timeout(60)
    void slowCommitDoesNotStopHeartbeats() {
        StateEngine engine = start("a");
        await().atMost(Duration.ofSeconds(30)).until(() -> ownsAll(engine));
        mFaults.pause("a", "shard/");
        CompletableFuture<Void> done = engine.append(P, List.of(Fleet.started(P, 10, 0)));
        mFaults.awaitPaused("a");
        long version = heartbeatVersion("a");
        await().atMost(Duration.ofSeconds(30)).until(() -> heartbeatVersion("a") > version);
        assertThat(done).isNotDone();
        assertThat(engine.find(P)).isPresent();
        mFaults.resume("a");
        await().atMost(Duration.ofSeconds(30)).until(done::isDone);
        assertThat(done).isCompletedWithValue(null);
    }

    /** Guards against a drain that leaves shards without an owner or loses records. */
    @Test
    @Timeout(60)
    void drainedDaemonHandsOverItsShards() {
        StateEngine a = start("a");
        await().atMost(Duration.ofSeconds(30)).until(() -> ownsAll(a));
        a.append(P, List.of(Fleet.started(P, 10, 7))).join();
        StateEngine b = start("b");
        await().atMost(Duration.ofSeconds(30)).until(() -> b.daemons().size() == 2);
        CompletableFuture<Void> drained = a.drain();
        await().atMost(Duration.ofSeconds(30)).until(() -> drained.isDone() && ownsAll(b));
        assertThat(b.find(P).orElseThrow().reservedTokens()).isEqualTo(7);
        a.close();
        assertThat(
                        mTable.viewFor("x")
                                .read(StoreRows.daemonKey(new VmId("a")))
                                .map(StoreRows::decodeDaemon)
                                .map(DaemonInfo::declaredDead))
                .hasValue(true);
    }
}
