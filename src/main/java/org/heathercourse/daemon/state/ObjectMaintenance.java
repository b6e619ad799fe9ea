package org.heathercourse.daemon.state;

import java.util.List;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.StoreException;

/** Deletes objects and writes snapshots on the background executor. Thread-safe. */
final class ObjectMaintenance {
    private static final EventLog LOG = EventLog.of(ObjectMaintenance.class);

    private final ObjectStore mObjects;
    private final Compactor mCompactor;
    private final StateTimers mTimers;

    ObjectMaintenance(ObjectStore objects, StateTimers timers) {
        mObjects = objects;
        mCompactor = new Compactor(objects);
        mTimers = timers;
    }

    void deleteInBackground(List<String> names) {
        mTimers.runInBackground(
                () -> {
                    try {
                        names.forEach(mObjects::delete);
                    } catch (StoreException e) {
                        // The next owner of the shard deletes the remaining objects.
                        LOG.debug("objects_not_deleted", "cause", e.getMessage());
                    }
                });
    }

    void compactInBackground(OwnedShard shard) {
        Compactor.Capture capture = Compactor.capture(shard);
        mTimers.runInBackground(
                () -> {
                    OwnedShard.SnapshotUpdate update = null;
                    try {
                        update = mCompactor.compact(shard, capture);
                    } catch (HeathercourseException e) {
                        LOG.warn("snapshot_failed", "shard", shard.id(), "cause", e.getMessage());
                    }
                    shard.finishCompaction(update);
                    mTimers.requestFlush();
                });
    }
}
