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
 * Measures takeovers as a caller sees them: after a kill, one program of each shard is asked for
 * until a surviving daemon shows it. Safe for use by several threads.
 */
final class TakeoverProbe {
    private static final int SHARDS = 64;
    private static final long GIVE_UP_MILLIS = 30_000;

    private final LocalDeployment mDeployment;
    private final String mKey;
    private final ExecutorService mThreads;
    private final Ticker mTicker = Ticker.system();
    private final List<String> mPrograms = new ArrayList<>();
    private final Histogram mMillis = new ConcurrentHistogram(3);

    TakeoverProbe(LocalDeployment deployment, String key, ExecutorService threads) {
        mDeployment = deployment;
        mKey = key;
        mThreads = threads;
    }

    /** Starts one program in each shard. */
    void start() {
        CallerClient client = new CallerClient(mDeployment.callerUrls(), 0);
        boolean[] have = new boolean[SHARDS];
        for (int i = 0, found = 0; found < SHARDS; i++) {
            String name = "takeover-" + i;
            int shard = ShardId.of(new ProgramId(name), SHARDS).index();
            if (!have[shard]) {
                String body = "{\"program\":\"" + name + "\",\"budget_tokens\":1000}";
                while (client.send("POST", "/v1/programs", mKey, body).isLeft()) {
                    Pauses.pause(100);
                }
                have[shard] = true;
                mPrograms.add(name);
                found++;
            }
        }
    }

    /** Measures for how long programs are out of reach; returns when all are in reach again. */
    void measure(DaemonProcess killed, long killedMillis) {
        List<String> survivors =
                mDeployment.daemons().stream()
                        .filter(d -> d != killed)
                        .map(DaemonProcess::callerUrl)
                        .toList();
        List<Future<?>> running = new ArrayList<>();
        for (String program : mPrograms) {
            running.add(mThreads.submit(() -> measure(program, survivors, killedMillis)));
        }
        for (Future<?> one : running) {
            try {
                one.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void measure(String program, List<String> survivors, long killedMillis) {
        CallerClient client = new CallerClient(survivors, Math.abs(program.hashCode()));
        String path = "/v1/programs/" + program;
        Either<CallFailure, CallerClient.Answer> answer = client.send("GET", path, mKey, null);
        while (answer.isLeft()) {
            if (mTicker.readMillis() - killedMillis > GIVE_UP_MILLIS) {
                System.err.println(program + " is out of reach: " + answer.getLeft());
                break;
            }
            Pauses.pause(50);
            answer = client.send("GET", path, mKey, null);
        }
        mMillis.recordValue(mTicker.readMillis() - killedMillis);
    }

    /** Returns the 99th percentile over shards and kills, in milliseconds; 0 without any. */
    long p99Millis() {
        return mMillis.getTotalCount() == 0 ? 0 : mMillis.getValueAtPercentile(99);
    }
}
