package org.heathercourse.core.fleet;

import java.nio.charset.StandardCharsets;

/**
 * Highest-random-weight hashing: all who know the same candidates choose the same one, and a
 * candidate that leaves moves only what it held.
 */
public final class Rendezvous {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final long MIX_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;

    private Rendezvous() {}

    /**
     * Returns the weight of a candidate for a key; the candidate with the highest one is chosen.
     */
    public static long weight(String key, String candidate) {
        return mix(hash(candidate, hash(key, OFFSET_BASIS)));
    }

    /** Returns a number from 0 (inclusive) to 1 (exclusive) that depends on the key only. */
    public static double unitHash(String key) {
        return (mix(hash(key, OFFSET_BASIS)) >>> 11) * 0x1.0p-53;
    }

    private static long hash(String text, long seed) {
        long hash = seed;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * PRIME;
        }
        // A separator, so that "ab" + "c" and "a" + "bc" differ.
        return (hash ^ 0x1ff) * PRIME;
    }

    private static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 33)) * MIX_1;
        mixed = (mixed ^ (mixed >>> 33)) * MIX_2;
        return mixed ^ (mixed >>> 33);
    }
}
