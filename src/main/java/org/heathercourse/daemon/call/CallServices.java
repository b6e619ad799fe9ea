package org.heathercourse.daemon.call;

import java.util.random.RandomGenerator;
import javax.inject.Inject;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.state.ProgramLog;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.PlainClient;

/** What calls need of the rest of the daemon. Immutable. */
public final class CallServices {
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
    public CallServices(
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
