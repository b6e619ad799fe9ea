package org.heathercourse.testing.bench.faults;

import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.ops.ctl.OperatorConnection;
import org.heathercourse.ops.v1.ApplyResponse;
import org.heathercourse.ops.v1.GetStatusRequest;
import org.heathercourse.ops.v1.GetStatusResponse;
import org.heathercourse.ops.v1.WithdrawKeyRequest;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.Pauses;

/**
 * Withdraws keys again and again and watches all daemons: for how long the old key is honoured, and
 * for how long a daemon that says that its configuration is fresh lacks the accepted revision.
 *
 * <p>Used by one thread.
 */
final class KeyAndConfigProbe {
    private static final long WATCH_MILLIS = 7_000;
    private static final long BOUND_MILLIS = 5_000;
    private static final long POLL_MILLIS = 100;
    private static final String WORKSPACE = "key-shop";

    private final LocalDeployment mDeployment;
    private final Violations mViolations;
    private final AtomicBoolean mStop;
    private final Ticker mTicker = Ticker.system();
    private final OkHttpClient mHttp =
            new OkHttpClient.Builder()
                    .callTimeout(2, TimeUnit.SECONDS)
                    .retryOnConnectionFailure(false)
                    .build();
    private final Map<DaemonProcess, OperatorConnection> mOperators = new HashMap<>();
    private final Map<String, Long> mRevisions = new HashMap<>();
    final AtomicLong mWithdrawals = new AtomicLong();
    final AtomicLong mWithdrawalMaxMillis = new AtomicLong();
    final AtomicLong mInForceMaxMillis = new AtomicLong();

    KeyAndConfigProbe(LocalDeployment deployment, Violations violations, AtomicBoolean stop) {
        mDeployment = deployment;
        mViolations = violations;
        mStop = stop;
        for (DaemonProcess daemon : deployment.daemons()) {
            mOperators.put(daemon, deployment.operatorAt(daemon));
        }
    }

    void run() {
        while (!mStop.get()) {
            try {
                String old = mDeployment.key(WORKSPACE);
                mDeployment.addKey(WORKSPACE);
                WithdrawKeyRequest request =
                        WithdrawKeyRequest.newBuilder()
                                .setWorkspace(WORKSPACE)
                                .setKeyId(mDeployment.keyId(old))
                                .setChangeId(UUID.randomUUID().toString())
                                .build();
                ApplyResponse accepted =
                        mDeployment.operator().call(stub -> stub.withdrawKey(request));
                watch(old, accepted.getRevision(), mTicker.readMillis());
                mWithdrawals.incrementAndGet();
            } catch (StatusRuntimeException e) {
                // Not accepted, or not known to be: nothing is promised then.
                Pauses.pause(500);
            }
        }
        mOperators.values().forEach(OperatorConnection::close);
    }

    private void watch(String oldKey, long revision, long acceptedMillis) {
        long lastHonoured = acceptedMillis;
        List<DaemonProcess> daemons = new ArrayList<>(mDeployment.daemons());
        while (mTicker.readMillis() - acceptedMillis < WATCH_MILLIS) {
            for (DaemonProcess daemon : daemons) {
                long asked = mTicker.readMillis();
                if (honours(daemon, oldKey)) {
                    lastHonoured = Math.max(lastHonoured, asked);
                    if (asked - acceptedMillis > BOUND_MILLIS) {
                        mViolations.add(
                                Promise.KEY_WITHDRAWAL,
                                daemon.endpoints().vm()
                                        + " honours a key "
                                        + (asked - acceptedMillis)
                                        + " ms after its withdrawal");
                    }
                }
                checkRevision(daemon, revision, acceptedMillis);
            }
            Pauses.pause(POLL_MILLIS);
        }
        raise(mWithdrawalMaxMillis, lastHonoured - acceptedMillis);
    }

    private boolean honours(DaemonProcess daemon, String key) {
        Request request =
                new Request.Builder()
                        .url(daemon.callerUrl() + "/v1/models")
                        .header("Authorization", "Bearer " + key)
                        .build();
        try (Response response = mHttp.newCall(request).execute()) {
            return response.isSuccessful();
        } catch (IOException e) {
            return false;
        }
    }

    private void checkRevision(DaemonProcess daemon, long revision, long acceptedMillis) {
        long asked = mTicker.readMillis();
        long pid = daemon.process().pid();
        GetStatusResponse status;
        try {
            status =
                    mOperators
                            .get(daemon)
                            .call(
                                    stub ->
                                            stub.withDeadlineAfter(1, TimeUnit.SECONDS)
                                                    .getStatus(
                                                            GetStatusRequest.getDefaultInstance()));
        } catch (StatusRuntimeException e) {
            return;
        }
        String process = daemon.endpoints().vm() + "/" + pid;
        long before = mRevisions.getOrDefault(process, 0L);
        if (status.getRevision() < before) {
            mViolations.add(
                    Promise.CONFIG_IN_FORCE,
                    process + " went from revision " + before + " to " + status.getRevision());
        }
        mRevisions.put(process, Math.max(before, status.getRevision()));
        if (status.getFresh() && status.getRevision() < revision) {
            raise(mInForceMaxMillis, asked - acceptedMillis);
            if (asked - acceptedMillis > BOUND_MILLIS) {
                mViolations.add(
                        Promise.CONFIG_IN_FORCE,
                        process + " lacks revision " + revision + " and says that it is fresh");
            }
        }
    }

    private static void raise(AtomicLong max, long value) {
        max.accumulateAndGet(value, Math::max);
    }
}
