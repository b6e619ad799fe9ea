package org.heathercourse.testing.bench.faults;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.CallerClient;
import org.heathercourse.testing.load.Pauses;

/** Sends a workspace's requests at several times its rate, through all daemons in turn. */
final class RateProbe {
    private static final int SENDERS = 4;
    private static final long PAUSE_MILLIS = 40;

    private final LocalDeployment mDeployment;
    private final AtomicBoolean mStop;
    private final RateCeiling mCeiling;
    private final Ticker mTicker = Ticker.system();

    RateProbe(LocalDeployment deployment, AtomicBoolean stop, RateCeiling ceiling) {
        mDeployment = deployment;
        mStop = stop;
        mCeiling = ceiling;
    }

    void start(ExecutorService threads, String key) {
        for (int i = 0; i < SENDERS; i++) {
            int sender = i;
            threads.execute(() -> send(sender, key));
        }
    }

    private void send(int sender, String key) {
        CallerClient client = new CallerClient(mDeployment.callerUrls(), sender);
        while (!mStop.get()) {
            long sent = mTicker.readMillis();
            if (client.send("GET", "/v1/services/works/stock?item=1", key, null).isRight()) {
                mCeiling.admitted(sent, mTicker.readMillis());
            }
            Pauses.pause(PAUSE_MILLIS);
        }
    }
}
