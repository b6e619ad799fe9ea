package org.heathercourse.daemon.state;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.TableStore;

/** Collects the parts of a {@link StateEngine}. Not safe for several threads. */
public final class StateEngineBuilder {
    private final StateSettings mSettings;
    private TableStore mTable;
    private ObjectStore mObjects;
    private Ticker mTicker = Ticker.system();
    private RandomGenerator mRandom;
    private StateExecutors mExecutors;
    private OutageDetector mEvidence = OutageDetector.NONE;
    private Supplier<PeerNetwork> mPeers;
    private HandoverListener mListener = HandoverListener.NONE;

    StateEngineBuilder(StateSettings settings) {
        mSettings = settings;
    }

    /** Sets the store. */
    public StateEngineBuilder store(TableStore table, ObjectStore objects) {
        mTable = table;
        mObjects = objects;
        return this;
    }

    /** Sets the time source; without it the one of the Java runtime is used. */
    public StateEngineBuilder ticker(Ticker ticker) {
        mTicker = ticker;
        return this;
    }

    /** Sets the source of the jitter of retries. */
    public StateEngineBuilder random(RandomGenerator random) {
        mRandom = random;
        return this;
    }

    /** Sets the executors; without them calls are made only by the steps of tests. */
    public StateEngineBuilder executors(StateExecutors executors) {
        mExecutors = executors;
        return this;
    }

    /** Sets what tells an outage from being cut off; without it nothing does. */
    public StateEngineBuilder outageDetector(OutageDetector evidence) {
        mEvidence = evidence;
        return this;
    }

    /** Sets the links to other daemons; without them no records are copied. */
    public StateEngineBuilder peers(Supplier<PeerNetwork> peers) {
        mPeers = peers;
        return this;
    }

    /** Sets who learns of released shards. */
    public StateEngineBuilder handoverListener(HandoverListener listener) {
        mListener = listener;
        return this;
    }

    /**
     * Creates the engine.
     *
     * @throws HeathercourseException of kind INVALID_SETTING if a part is missing
     */
    public StateEngine build() {
        if (mTable == null || mObjects == null || mRandom == null) {
            throw new HeathercourseException(
                    ErrorKind.INVALID_SETTING,
                    "store or random source is missing, expected both",
                    "set them on the builder");
        }
        if (mExecutors == null) {
            return new StateEngine(this, mTable, mObjects);
        }
        StoreTimeouts timeouts = new StoreTimeouts(mExecutors.storeCalls());
        return new StateEngine(
                this,
                timeouts.table(mTable, mSettings.storeTimeoutMillis()),
                timeouts.objects(mObjects, mSettings.objectTimeoutMillis()));
    }

    StateSettings settings() {
        return mSettings;
    }

    Ticker ticker() {
        return mTicker;
    }

    RandomGenerator random() {
        return mRandom;
    }

    StateExecutors executors() {
        return mExecutors;
    }

    OutageDetector outageDetector() {
        return mEvidence;
    }

    Supplier<PeerNetwork> peers() {
        return mPeers;
    }

    HandoverListener handoverListener() {
        return mListener;
    }
}
