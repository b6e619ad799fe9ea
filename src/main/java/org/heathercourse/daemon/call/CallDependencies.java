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

/** What calls need of the rest of the daemon. Immutable. */
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

    /** Creates the set. */
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
     * Registers a use of a shard.
     *
     * <p>A process that has no configuration yet would refuse calls for good that it merely does
     * not know, so it answers like a daemon that does not own the shard: the sender tries again.
     *
     * @throws HeathercourseException of kind {@code OWNERSHIP_LOST}, not run, if the shard cannot
     *     be used here at present
     */
    ShardDirectory.Use use(ShardId shard) {
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
