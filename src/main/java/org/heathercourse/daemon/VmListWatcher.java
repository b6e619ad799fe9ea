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
 * Polls the platform's VM list to detect that this VM is leaving.
 *
 * <p>The list is delayed and may contain earlier VMs with the same identity, so only an entry with
 * this incarnation or without one is considered. Safe for use by several threads.
 */
final class VmListWatcher {
    private static final EventLog LOG = EventLog.of(VmListWatcher.class);
    private static final long PERIOD_MILLIS = 2_000;

    private final VmList mVmList;
    private final ShardDirectory mShardDirectory;

    @Inject
    VmListWatcher(VmList vmList, ShardDirectory shards) {
        mVmList = vmList;
        mShardDirectory = shards;
    }

    /**
     * Starts polling.
     *
     * @param onLeaving runs after each poll in which this VM is listed as leaving
     */
    void start(Runnable onLeaving) {
        ScheduledExecutorService timer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "vm-list");
                            thread.setDaemon(true);
                            return thread;
                        });
        timer.scheduleWithFixedDelay(
                () -> checkVmList(onLeaving), PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void checkVmList(Runnable onLeaving) {
        try {
            boolean leaving = mVmList.list().stream().anyMatch(this::isLeavingEntryOfThisDaemon);
            if (leaving) {
                onLeaving.run();
            }
        } catch (StoreException e) {
            LOG.debug("vm_list_read_failed", "cause", e.getMessage());
        }
    }

    private boolean isLeavingEntryOfThisDaemon(VmList.Entry entry) {
        return entry.vm().equals(mShardDirectory.self().vm())
                && entry.state() == VmList.State.LEAVING
                && (entry.incarnation() == 0
                        || entry.incarnation() == mShardDirectory.self().incarnation());
    }
}
