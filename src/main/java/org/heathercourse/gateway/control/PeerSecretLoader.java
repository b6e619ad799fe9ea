package org.heathercourse.gateway.control;

import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowStore;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.platform.rows.StoredRow;

/**
 * Loads the shared secret with which gateways authenticate to each other. The first gateway
 * generates it and writes it to the store. Callbacks run on the control thread.
 */
final class PeerSecretLoader {
    private static final int LENGTH_BYTES = 32;
    private static final long RETRY_DELAY_MILLIS = 150;
    private static final RowKey ROW = new RowKey("cluster", "", "peer-secret");
    private static final EventLog LOG = EventLog.of(PeerSecretLoader.class);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final CompletableFuture<byte[]> mSecret = new CompletableFuture<>();
    private boolean mUnreachableLogged;

    PeerSecretLoader(RowStore store, ScheduledExecutorService control) {
        mStore = store;
        mControl = control;
    }

    /** Loads the secret; retries until the store replies. */
    CompletableFuture<byte[]> load() {
        read();
        return mSecret;
    }

    private void read() {
        mStore.read(ROW).whenCompleteAsync(this::onRow, mControl);
    }

    private void onRow(StoredRow row, Throwable error) {
        if (error != null) {
            retryLater(error);
        } else if (row.exists()) {
            mSecret.complete(row.value());
        } else {
            byte[] secret = new byte[LENGTH_BYTES];
            new SecureRandom().nextBytes(secret);
            // If another gateway writes first, the read returns its secret.
            mStore.commit(RowTransaction.put(ROW, StoredRow.ABSENT, secret))
                    .whenCompleteAsync(
                            (commit, failure) -> {
                                if (failure == null) {
                                    read();
                                } else {
                                    retryLater(failure);
                                }
                            },
                            mControl);
        }
    }

    private void retryLater(Throwable error) {
        if (!mUnreachableLogged) {
            mUnreachableLogged = true;
            LOG.warn("store_unreachable_at_start", "reason", error.getMessage());
        }
        mControl.schedule(this::read, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
