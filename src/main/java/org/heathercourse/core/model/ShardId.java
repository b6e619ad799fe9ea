package org.heathercourse.core.model;

import java.nio.charset.StandardCharsets;

/**
 * One of a fixed number of partitions of programs and workspaces; the unit of ownership.
 *
 * @param index number of the shard, from 0
 */
public record ShardId(int index) implements Comparable<ShardId> {
    /**
     * Checks the number.
     *
     * @throws IllegalArgumentException if it is negative
     */
    public ShardId {
        if (index < 0) {
            throw new IllegalArgumentException("shard is " + index + ", expected 0 or more");
        }
    }

    /**
     * Returns the shard that holds a program.
     *
     * @param program the program
     * @param shardCount number of shards of the deployment
     * @return the shard, the same in every process
     */
    public static ShardId of(ProgramId program, int shardCount) {
        return new ShardId(Math.floorMod(hash("p/" + program.value()), shardCount));
    }

    /**
     * Returns the shard whose owner distributes the rate of a workspace.
     *
     * @param workspace the workspace
     * @param shardCount number of shards of the deployment
     * @return the shard, the same in every process
     */
    public static ShardId of(WorkspaceId workspace, int shardCount) {
        return new ShardId(Math.floorMod(hash("w/" + workspace.value()), shardCount));
    }

    /**
     * Returns a 64-bit hash of a text that is the same in every process (FNV-1a with a final mix).
     *
     * @param text the text to hash
     * @return the hash
     */
    public static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            h ^= b & 0xff;
            h *= 0x100000001b3L;
        }
        h ^= h >>> 33;
        h *= 0xff51afd7ed558ccdL;
        h ^= h >>> 33;
        return h;
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
