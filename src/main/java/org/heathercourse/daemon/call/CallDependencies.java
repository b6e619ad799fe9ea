package org.heathercourse.daemon.call;

import java.util.random.RandomGenerator;
import javax.inject.Inject;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.state.ProgramLog;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.PlainClient;

/** Collaborators that the daemon provides for running calls. Immutable. */
public final class CallDependencies {
    private final ProgramLog mLog;
    private final ShardDirectory mShards;
    private final ConfigSource mConfig;
    private final EngineClient mEngine;
    private final PlainClient mPlain;
    private final TargetSelector mSelector;
    private final CallSettings mSettings;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final DecisionLog mDecisions;

    @Inject
    public CallDependencies(
            ProgramLog log,
            ShardDirectory shards,
            ConfigSource config,
            EngineClient engine,
            PlainClient plain,
            TargetSelector selector,
            CallSettings settings,
            Ticker ticker,
            RandomGenerator random,
            DecisionLog decisions) {
        mLog = log;
        mShards = shards;
        mConfig = config;
        mEngine = engine;
        mPlain = plain;
        mSelector = selector;
        mSettings = settings;
        mTicker = ticker;
        mRandom = random;
        mDecisions = decisions;
    }

    /**
     * Acquires a use of a shard. The shard is not released before the use is closed.
     *
     * <p>Before the first configuration is loaded, services and programs look undeclared, and
     * refusing their calls would be final. Such a daemon answers as if it did not own the shard, so
     * that the sender retries.
     *
     * @throws HeathercourseException of kind {@code OWNERSHIP_LOST}, marked as not run, if this
     *     daemon does not own the shard, is releasing it, or has no configuration
     */
    ShardDirectory.Use acquireShard(ShardId shard) {
        if (mConfig.current().revision() == 0) {
            throw CallErrors.ownershipLost(shard, true);
        }
        return mShards.acquireUse(shard).orElseThrow(() -> CallErrors.ownershipLost(shard, true));
    }

    ProgramLog log() {
        return mLog;
    }

    ShardDirectory shards() {
        return mShards;
    }

    ConfigSource config() {
        return mConfig;
    }

    EngineClient engine() {
        return mEngine;
    }

    PlainClient plain() {
        return mPlain;
    }

    TargetSelector selector() {
        return mSelector;
    }

    CallSettings settings() {
        return mSettings;
    }

    Ticker ticker() {
        return mTicker;
    }

    RandomGenerator random() {
        return mRandom;
    }

    DecisionLog decisions() {
        return mDecisions;
    }
}
