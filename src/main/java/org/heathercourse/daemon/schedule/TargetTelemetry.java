package org.heathercourse.daemon.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.ServiceKind;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.placement.CacheChange;
import org.heathercourse.core.placement.LoadReport;
import org.heathercourse.core.placement.Scheduler;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetException;

/**
 * Polls engines for their load and cache events and reports them to the {@link Scheduler}.
 *
 * <p>Each round polls the engines that run calls of this daemon and a rotating subset of the
 * others, so that the cost of a round does not grow with the number of engines. Call {@link #start}
 * once. Rounds run on the timer; reads run concurrently on the executor given to {@link #start}.
 * Safe for use by several threads.
 */
public final class TargetTelemetry {
    private static final EventLog LOG = EventLog.of(TargetTelemetry.class);
    private static final long PERIOD_MILLIS = 500;
    private static final int UNUSED_ENGINES_PER_ROUND = 8;

    private final Scheduler mScheduler;
    private final SchedulerSelector mSelector;
    private final EngineClient mEngine;
    private final ConfigSource mConfig;
    private final ShardDirectory mShards;
    private final Ticker mTicker;
    private final Map<TargetId, Long> mLastCacheSequence = new ConcurrentHashMap<>();
    private int mNextUnusedEngine;

    /**
     * Creates the poller.
     *
     * @param scheduler receiver of the reports
     * @param selector source of the number of running calls of each engine
     * @param engine client for reading from engines
     * @param config source of the declared engines
     * @param shards source of the number of daemons that share the engines
     * @param ticker time source
     */
    public TargetTelemetry(
            Scheduler scheduler,
            SchedulerSelector selector,
            EngineClient engine,
            ConfigSource config,
            ShardDirectory shards,
            Ticker ticker) {
        mScheduler = scheduler;
        mSelector = selector;
        mEngine = engine;
        mConfig = config;
        mShards = shards;
        mTicker = ticker;
    }

    /**
     * Starts the periodic rounds.
     *
     * @param timer executor that starts the rounds
     * @param readExecutor executor for the reads, which block
     */
    public void start(ScheduledExecutorService timer, ExecutorService readExecutor) {
        mConfig.onChange(this::updateConfig);
        updateConfig(mConfig.current());
        timer.scheduleWithFixedDelay(
                () -> runRound(readExecutor), PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void updateConfig(DeploymentConfig config) {
        mScheduler.onConfig(config, mShards.daemons().size(), mTicker.readMillis());
    }

    private void runRound(ExecutorService readExecutor) {
        updateConfig(mConfig.current());
        for (TargetSpec engine : enginesOfRound()) {
            readExecutor.execute(() -> pollEngine(engine));
        }
    }

    private List<TargetSpec> enginesOfRound() {
        List<TargetSpec> polled = new ArrayList<>();
        List<TargetSpec> unusedEngines = new ArrayList<>();
        for (TargetSpec engine : pollableEngines(mConfig.current())) {
            (mSelector.runningCallCount(engine.target()) > 0 ? polled : unusedEngines).add(engine);
        }
        int count = Math.min(UNUSED_ENGINES_PER_ROUND, unusedEngines.size());
        for (int i = 0; i < count; i++) {
            polled.add(
                    unusedEngines.get(Math.floorMod(mNextUnusedEngine + i, unusedEngines.size())));
        }
        mNextUnusedEngine += count;
        return polled;
    }

    private static List<TargetSpec> pollableEngines(DeploymentConfig config) {
        Map<ServiceId, ServiceKind> kinds = new HashMap<>();
        config.services().forEach(s -> kinds.put(s.service(), s.kind()));
        return config.targets().stream()
                .filter(t -> kinds.get(t.service()) == ServiceKind.MODEL)
                .filter(t -> t.state().takesNewWork())
                .toList();
    }

    private void pollEngine(TargetSpec engine) {
        TargetAddress address = new TargetAddress(engine.target(), engine.baseUrl());
        try {
            EngineClient.Load load = mEngine.load(address);
            LoadReport report =
                    new LoadReport(
                            load.running(),
                            load.queued(),
                            load.queuedTokens(),
                            load.cacheUsedTokens(),
                            load.cacheCapacityTokens(),
                            load.models(),
                            load.ageMillis());
            mScheduler.onLoadReport(engine.target(), report, mTicker.readMillis());
            long lastSequence = mLastCacheSequence.getOrDefault(engine.target(), 0L);
            List<CacheChange> changes = new ArrayList<>();
            for (EngineClient.CacheEvent event : mEngine.cacheEvents(address, lastSequence)) {
                changes.add(
                        new CacheChange(event.sequence(), event.session(), event.cachedTokens()));
                lastSequence = Math.max(lastSequence, event.sequence());
            }
            mLastCacheSequence.put(engine.target(), lastSequence);
            mScheduler.onCacheEvents(engine.target(), changes, mTicker.readMillis());
        } catch (TargetException e) {
            LOG.debug("telemetry_read_failed", "target", engine.target(), "cause", e.getMessage());
        }
    }
}
