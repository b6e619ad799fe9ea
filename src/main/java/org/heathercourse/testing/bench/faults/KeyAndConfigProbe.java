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
 * Withdraws keys repeatedly and polls all daemons: how long they accept the withdrawn key, and how
 * long a daemon that reports a fresh configuration lacks the accepted revision.
 *
 * <p>Used by one thread.
 */
final class KeyAndConfigProbe {
    private static final long WATCH_MILLIS = 7_000;
    private static final long MAX_DELAY_MILLIS = 5_000;
    private static final long POLL_MILLIS = 100;
    private static final String WORKSPACE = "key-shop";

    private final LocalDeployment mDeployment;
    private final Violations mViolations;
    private final AtomicBoolean mStopped;
    private final Ticker mTicker = Ticker.system();
    private final OkHttpClient mHttp =
            new OkHttpClient.Builder()
                    .callTimeout(2, TimeUnit.SECONDS)
                    .retryOnConnectionFailure(false)
                    .build();
    private final Map<DaemonProcess, OperatorConnection> mOperators = new HashMap<>();
    private final Map<String, Long> mMaxRevisions = new HashMap<>();
    final AtomicLong mWithdrawals = new AtomicLong();
    final AtomicLong mWithdrawalMaxMillis = new AtomicLong();
    final AtomicLong mInForceMaxMillis = new AtomicLong();

    KeyAndConfigProbe(LocalDeployment deployment, Violations violations, AtomicBoolean stopped) {
        mDeployment = deployment;
        mViolations = violations;
        mStopped = stopped;
        for (DaemonProcess daemon : deployment.daemons()) {
            mOperators.put(daemon, deployment.operatorAt(daemon));
        }
    }

    void run() {
        while (!mStopped.get()) {
            try {
                String oldKey = mDeployment.key(WORKSPACE);
                mDeployment.addKey(WORKSPACE);
                WithdrawKeyRequest request =
                        WithdrawKeyRequest.newBuilder()
                                .setWorkspace(WORKSPACE)
                                .setKeyId(mDeployment.keyId(oldKey))
                                .setChangeId(UUID.randomUUID().toString())
                                .build();
                ApplyResponse accepted =
                        mDeployment.operator().call(stub -> stub.withdrawKey(request));
                pollDaemons(oldKey, accepted.getRevision(), mTicker.readMillis());
                mWithdrawals.incrementAndGet();
            } catch (StatusRuntimeException e) {
                // Refused or with an unknown outcome: no guarantee applies.
                Pauses.pause(500);
            }
        }
        mOperators.values().forEach(OperatorConnection::close);
    }

    private void pollDaemons(String oldKey, long revision, long acceptedMillis) {
        long lastKeyUseMillis = acceptedMillis;
        List<DaemonProcess> daemons = new ArrayList<>(mDeployment.daemons());
        while (mTicker.readMillis() - acceptedMillis < WATCH_MILLIS) {
            for (DaemonProcess daemon : daemons) {
                long requestMillis = mTicker.readMillis();
                if (acceptsKey(daemon, oldKey)) {
                    lastKeyUseMillis = Math.max(lastKeyUseMillis, requestMillis);
                    if (requestMillis - acceptedMillis > MAX_DELAY_MILLIS) {
                        mViolations.add(
                                Guarantee.KEY_WITHDRAWAL,
                                daemon.endpoints().vm()
                                        + " accepted a key "
                                        + (requestMillis - acceptedMillis)
                                        + " ms after its withdrawal");
                    }
                }
                checkRevision(daemon, revision, acceptedMillis);
            }
            Pauses.pause(POLL_MILLIS);
        }
        updateMax(mWithdrawalMaxMillis, lastKeyUseMillis - acceptedMillis);
    }

    private boolean acceptsKey(DaemonProcess daemon, String key) {
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
        long requestMillis = mTicker.readMillis();
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
        long maxRevision = mMaxRevisions.getOrDefault(process, 0L);
        if (status.getRevision() < maxRevision) {
            mViolations.add(
                    Guarantee.CONFIG_IN_FORCE,
                    process
                            + " reported a lower revision than before, was "
                            + maxRevision
                            + ", is "
                            + status.getRevision());
        }
        mMaxRevisions.put(process, Math.max(maxRevision, status.getRevision()));
        if (status.getFresh() && status.getRevision() < revision) {
            updateMax(mInForceMaxMillis, requestMillis - acceptedMillis);
            if (requestMillis - acceptedMillis > MAX_DELAY_MILLIS) {
                mViolations.add(
                        Guarantee.CONFIG_IN_FORCE,
                        process + " reports a fresh configuration without revision " + revision);
            }
        }
    }

    private static void updateMax(AtomicLong max, long value) {
        max.accumulateAndGet(value, Math::max);
    }
}
