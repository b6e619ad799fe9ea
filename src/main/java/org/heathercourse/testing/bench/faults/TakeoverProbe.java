package org.heathercourse.testing.bench.faults;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.CallFailure;
import org.heathercourse.testing.load.CallerClient;
import org.heathercourse.testing.load.Pauses;

/**
 * Measures takeover times from a caller's point of view: after a kill, one program of each shard is
 * requested until a surviving daemon returns it. Safe for use by several threads after {@link
 * #startPrograms()}.
 */
final class TakeoverProbe {
    private static final int SHARDS = 64;
    private static final long TIMEOUT_MILLIS = 30_000;

    private final LocalDeployment mDeployment;
    private final String mKey;
    private final ExecutorService mThreads;
    private final Ticker mTicker = Ticker.system();
    private final List<String> mPrograms = new ArrayList<>();
    private final Histogram mTakeoverMillis = new ConcurrentHistogram(3);

    TakeoverProbe(LocalDeployment deployment, String key, ExecutorService threads) {
        mDeployment = deployment;
        mKey = key;
        mThreads = threads;
    }

    /** Starts one program in each shard. */
    void startPrograms() {
        CallerClient client = new CallerClient(mDeployment.callerUrls(), 0);
        boolean[] covered = new boolean[SHARDS];
        for (int i = 0, coveredShards = 0; coveredShards < SHARDS; i++) {
            String name = "takeover-" + i;
            int shard = ShardId.of(new ProgramId(name), SHARDS).index();
            if (!covered[shard]) {
                String body = "{\"program\":\"" + name + "\",\"budget_tokens\":1000}";
                while (client.send("POST", "/v1/programs", mKey, body).isLeft()) {
                    Pauses.pause(100);
                }
                covered[shard] = true;
                mPrograms.add(name);
                coveredShards++;
            }
        }
    }

    /**
     * Measures how long programs are unavailable after a kill; returns when all are available again
     * or the timeout has expired.
     *
     * @param killed the killed daemon
     * @param killedMillis time of the kill, in milliseconds of the ticker
     */
    void measure(DaemonProcess killed, long killedMillis) {
        List<String> survivors =
                mDeployment.daemons().stream()
                        .filter(d -> d != killed)
                        .map(DaemonProcess::callerUrl)
                        .toList();
        List<Future<?>> measurements = new ArrayList<>();
        for (String program : mPrograms) {
            measurements.add(
                    mThreads.submit(() -> measureProgram(program, survivors, killedMillis)));
        }
        for (Future<?> measurement : measurements) {
            try {
                measurement.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void measureProgram(String program, List<String> survivors, long killedMillis) {
        CallerClient client = new CallerClient(survivors, Math.abs(program.hashCode()));
        String path = "/v1/programs/" + program;
        Either<CallFailure, CallerClient.Answer> answer = client.send("GET", path, mKey, null);
        while (answer.isLeft()) {
            if (mTicker.readMillis() - killedMillis > TIMEOUT_MILLIS) {
                System.err.println(program + " is still unavailable cause=" + answer.getLeft());
                break;
            }
            Pauses.pause(50);
            answer = client.send("GET", path, mKey, null);
        }
        mTakeoverMillis.recordValue(mTicker.readMillis() - killedMillis);
    }

    /**
     * Returns the 99th percentile over all shards and kills, in milliseconds; 0 if none was
     * measured.
     */
    long p99Millis() {
        return mTakeoverMillis.getTotalCount() == 0 ? 0 : mTakeoverMillis.getValueAtPercentile(99);
    }
}
