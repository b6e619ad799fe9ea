package org.heathercourse.testing.bench.faults;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.CallerClient;
import org.heathercourse.testing.load.Pauses;

/**
 * Sends requests of a workspace at several times its rate through all daemons, and records those
 * that are admitted. Safe for use by several threads.
 */
final class RateProbe {
    private static final int SENDERS = 4;
    private static final long PAUSE_MILLIS = 40;

    private final LocalDeployment mDeployment;
    private final AtomicBoolean mStopped;
    private final RateCeiling mCeiling;
    private final Ticker mTicker = Ticker.system();

    RateProbe(LocalDeployment deployment, AtomicBoolean stopped, RateCeiling ceiling) {
        mDeployment = deployment;
        mStopped = stopped;
        mCeiling = ceiling;
    }

    void start(ExecutorService threads, String key) {
        for (int i = 0; i < SENDERS; i++) {
            int sender = i;
            threads.execute(() -> sendRequests(sender, key));
        }
    }

    private void sendRequests(int sender, String key) {
        CallerClient client = new CallerClient(mDeployment.callerUrls(), sender);
        while (!mStopped.get()) {
            long sentMillis = mTicker.readMillis();
            if (client.send("GET", "/v1/services/works/stock?item=1", key, null).isRight()) {
                mCeiling.recordAdmission(sentMillis, mTicker.readMillis());
            }
            Pauses.pause(PAUSE_MILLIS);
        }
    }
}
