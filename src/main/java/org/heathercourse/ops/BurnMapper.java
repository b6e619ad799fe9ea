package org.heathercourse.ops;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.burn.BurnBucket;
import org.heathercourse.core.burn.BurnSnapshot;
import org.heathercourse.core.burn.ObjectiveKey;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.ops.v1.BurnCounts;

/** Converts counts of calls against objectives to and from the operator schema. Stateless. */
public final class BurnMapper {
    private BurnMapper() {}

    /** Converts a snapshot to messages of the schema, one for each objective with counts. */
    public static List<BurnCounts> toSchema(BurnSnapshot snapshot) {
        Map<ObjectiveKey, BurnCounts.Builder> counts = new LinkedHashMap<>();
        for (BurnBucket bucket : snapshot.buckets()) {
            WorkspaceId workspace = bucket.key().workspace();
            counts.computeIfAbsent(
                            bucket.key(),
                            k ->
                                    BurnCounts.newBuilder()
                                            .setService(k.service().value())
                                            .setWorkspace(
                                                    workspace == null ? "" : workspace.value()))
                    .addBucketsBuilder()
                    .setWidthMillis(bucket.widthMillis())
                    .setStartEpochMillis(bucket.startEpochMillis())
                    .setGood(bucket.good())
                    .setBad(bucket.bad());
        }
        return counts.values().stream().map(BurnCounts.Builder::build).toList();
    }

    /** Converts the counts that one daemon reported to a snapshot. */
    public static BurnSnapshot toCore(List<BurnCounts> counts) {
        List<BurnBucket> buckets = new ArrayList<>();
        for (BurnCounts entry : counts) {
            String workspace = entry.getWorkspace();
            ObjectiveKey key =
                    new ObjectiveKey(
                            new ServiceId(entry.getService()),
                            workspace.isEmpty() ? null : new WorkspaceId(workspace));
            entry.getBucketsList()
                    .forEach(
                            b ->
                                    buckets.add(
                                            new BurnBucket(
                                                    key,
                                                    b.getWidthMillis(),
                                                    b.getStartEpochMillis(),
                                                    b.getGood(),
                                                    b.getBad())));
        }
        return BurnSnapshot.ofBuckets(buckets);
    }
}
