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
 * Reads load and cache events of engines for the {@link Scheduler}.
 *
 * <p>Each round asks the engines that this daemon uses at present and a rotating part of the
 * others, so that the cost of a round does not grow with the fleet. Safe for use by several
 * threads.
 */
public final class TargetTelemetry {
    private static final EventLog LOG = EventLog.of(TargetTelemetry.class);
    private static final long PERIOD_MILLIS = 500;
    private static final int OTHERS_PER_ROUND = 8;

    private final Scheduler mScheduler;
    private final SchedulerSelector mSelector;
    private final EngineClient mEngine;
    private final ConfigSource mConfig;
    private final ShardDirectory mShards;
    private final Ticker mTicker;
    private final Map<TargetId, Long> mSeenSequence = new ConcurrentHashMap<>();
    private int mNextOther;

    /**
     * Creates the reader.
     *
     * @param scheduler takes in what is read
     * @param selector knows which engines are in use
     * @param engine reads
     * @param config names the engines
     * @param shards names the daemons that share them
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
     * Starts to read.
     *
     * @param timer starts the rounds
     * @param calls runs the reads, which block
     */
    public void start(ScheduledExecutorService timer, ExecutorService calls) {
        mConfig.onChange(this::configure);
        configure(mConfig.current());
        timer.scheduleWithFixedDelay(
                () -> round(calls), PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void configure(DeploymentConfig config) {
        mScheduler.onConfig(config, mShards.daemons().size(), mTicker.readMillis());
    }

    private void round(ExecutorService calls) {
        configure(mConfig.current());
        for (TargetSpec engine : chosen()) {
            calls.execute(() -> read(engine));
        }
    }

    private List<TargetSpec> chosen() {
        List<TargetSpec> used = new ArrayList<>();
        List<TargetSpec> others = new ArrayList<>();
        for (TargetSpec engine : engines(mConfig.current())) {
            (mSelector.runningCallCount(engine.target()) > 0 ? used : others).add(engine);
        }
        int count = Math.min(OTHERS_PER_ROUND, others.size());
        for (int i = 0; i < count; i++) {
            used.add(others.get(Math.floorMod(mNextOther + i, others.size())));
        }
        mNextOther += count;
        return used;
    }

    private static List<TargetSpec> engines(DeploymentConfig config) {
        Map<ServiceId, ServiceKind> kinds = new HashMap<>();
        config.services().forEach(s -> kinds.put(s.service(), s.kind()));
        return config.targets().stream()
                .filter(t -> kinds.get(t.service()) == ServiceKind.MODEL)
                .filter(t -> t.state().takesNewWork())
                .toList();
    }

    private void read(TargetSpec engine) {
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
            long seen = mSeenSequence.getOrDefault(engine.target(), 0L);
            List<CacheChange> changes = new ArrayList<>();
            for (EngineClient.CacheEvent event : mEngine.cacheEvents(address, seen)) {
                changes.add(
                        new CacheChange(event.sequence(), event.session(), event.cachedTokens()));
                seen = Math.max(seen, event.sequence());
            }
            mSeenSequence.put(engine.target(), seen);
            mScheduler.onCacheEvents(engine.target(), changes, mTicker.readMillis());
        } catch (TargetException e) {
            LOG.debug("telemetry_missed", "target", engine.target(), "cause", e.getMessage());
        }
    }
}
