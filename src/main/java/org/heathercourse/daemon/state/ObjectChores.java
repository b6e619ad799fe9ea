package org.heathercourse.daemon.state;

import java.util.List;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.StoreException;

/** Deletes objects and writes snapshots apart from the loops. Safe for use by several threads. */
final class ObjectChores {
    private static final EventLog LOG = EventLog.of(ObjectChores.class);

    private final ObjectStore mObjects;
    private final Compactor mCompactor;
    private final StateTimers mTimers;

    ObjectChores(ObjectStore objects, StateTimers timers) {
        mObjects = objects;
        mCompactor = new Compactor(objects);
        mTimers = timers;
    }

    void deleteLater(List<String> names) {
        mTimers.background(
                () -> {
                    try {
                        names.forEach(mObjects::delete);
                    } catch (StoreException e) {
                        // The next owner of the shard deletes what is left.
                        LOG.debug("objects_not_deleted", "cause", e.getMessage());
                    }
                });
    }

    void compactLater(OwnedShard shard) {
        Compactor.Capture capture = Compactor.capture(shard);
        mTimers.background(
                () -> {
                    OwnedShard.Cut cut = null;
                    try {
                        cut = mCompactor.compact(shard, capture);
                    } catch (HeathercourseException e) {
                        LOG.warn("snapshot_failed", "shard", shard.id(), "cause", e.getMessage());
                    }
                    shard.endCompaction(cut);
                    mTimers.flushSoon();
                });
    }
}
