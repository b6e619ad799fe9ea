package org.heathercourse.daemon;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.VmList;

/**
 * Watches the platform's VM list for the announcement that this VM is leaving.
 *
 * <p>The list lags and may name earlier VMs of the same identity, so that only an entry of this
 * incarnation, or one without any, counts. Safe for use by several threads.
 */
final class VmListWatcher {
    private static final EventLog LOG = EventLog.of(VmListWatcher.class);
    private static final long PERIOD_MILLIS = 2_000;

    private final VmList mVmList;
    private final ShardDirectory mShards;

    @Inject
    VmListWatcher(VmList vmList, ShardDirectory shards) {
        mVmList = vmList;
        mShards = shards;
    }

    /** Starts to watch; the action runs at each round in which this VM is listed as leaving. */
    void start(Runnable leave) {
        ScheduledExecutorService timer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "vm-list");
                            thread.setDaemon(true);
                            return thread;
                        });
        timer.scheduleWithFixedDelay(
                () -> round(leave), PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void round(Runnable leave) {
        try {
            boolean leaving = mVmList.list().stream().anyMatch(this::isThisLeaving);
            if (leaving) {
                leave.run();
            }
        } catch (StoreException e) {
            LOG.debug("vm_list_missed", "cause", e.getMessage());
        }
    }

    private boolean isThisLeaving(VmList.Entry entry) {
        return entry.vm().equals(mShards.self().vm())
                && entry.state() == VmList.State.LEAVING
                && (entry.incarnation() == 0
                        || entry.incarnation() == mShards.self().incarnation());
    }
}
