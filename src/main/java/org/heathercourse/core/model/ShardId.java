package org.heathercourse.core.model;

import java.nio.charset.StandardCharsets;

/**
 * Identity of a shard: one of a fixed number of partitions of the programs and workspaces, and the
 * unit of ownership. Immutable.
 *
 * @param index number of the shard, from 0
 */
public record ShardId(int index) implements Comparable<ShardId> {
    /**
     * Validates the number.
     *
     * @throws IllegalArgumentException if it is negative
     */
    public ShardId {
        if (index < 0) {
            throw new IllegalArgumentException("shard is " + index + ", expected 0 or more");
        }
    }

    /**
     * Returns the shard of a program.
     *
     * @param program the program
     * @param shardCount number of shards of the deployment
     * @return the shard, the same in every process
     */
    public static ShardId of(ProgramId program, int shardCount) {
        return new ShardId(Math.floorMod(hash("p/" + program.value()), shardCount));
    }

    /**
     * Returns the shard whose owner distributes the rate limit of a workspace.
     *
     * @param workspace the workspace
     * @param shardCount number of shards of the deployment
     * @return the shard, the same in every process
     */
    public static ShardId of(WorkspaceId workspace, int shardCount) {
        return new ShardId(Math.floorMod(hash("w/" + workspace.value()), shardCount));
    }

    /**
     * Returns a 64-bit hash (FNV-1a with a final mixing step) that is the same in every process.
     *
     * @param text the text to hash
     * @return the hash
     */
    public static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash ^= b & 0xff;
            hash *= 0x100000001b3L;
        }
        hash ^= hash >>> 33;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        return hash;
    }

    @Override
    public int compareTo(ShardId other) {
        return Integer.compare(index, other.index);
    }

    @Override
    public String toString() {
        return Integer.toString(index);
    }
}
