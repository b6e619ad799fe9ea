package org.heathercourse.core.history;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A stored turn. Its history consists of the segments of its bases, in order, and its own segment.
 * Immutable; the array must not be changed.
 *
 * @param writer random number of the write, which tells an own earlier write from that of another
 * @param lifetime time until which the row is kept
 * @param historyBytes size of the whole history in bytes
 * @param bases earlier turns whose segments precede that of this turn, oldest first
 * @param segment inputs and outputs of the turns since the last base
 */
public record TurnRow(
        long writer, Lifetime lifetime, long historyBytes, List<Base> bases, byte[] segment) {
    /**
     * Size in bytes up to which a turn repeats the segment of its parent. A segment of this size
     * and its list of bases fit into one row. For chains of 63 turns and 1.3 MB, 32 KB took 23
     * reads and 1.3 writes for each turn; 56 KB take 15 and 1.2, with a quarter more bytes.
     */
    public static final int MAX_SEGMENT_BYTES = 56 * 1024;

    /**
     * An earlier turn whose segment is part of the history.
     *
     * @param key key of its row
     * @param retainedUntilMillis wall-clock time in milliseconds until which its row was known to
     *     be kept
     */
    public record Base(String key, long retainedUntilMillis) {}

    /** Copies the bases. */
    public TurnRow {
        bases = List.copyOf(bases);
    }

    /** Returns the row of the first turn of a chain. */
    public static TurnRow first(long writer, Lifetime lifetime, byte[] added) {
        return new TurnRow(writer, lifetime, added.length, List.of(), added);
    }

    /**
     * Returns the row of a turn that continues this one. It starts a new segment if the segment of
     * this turn would become too large, and repeats that segment otherwise.
     *
     * @param key key of this row
     * @param writer random number of the write
     * @param childLifetime lifetime of the new row
     * @param added input and output of the new turn
     */
    public TurnRow child(String key, long writer, Lifetime childLifetime, byte[] added) {
        long childBytes = historyBytes + added.length;
        if (startsSegment(segment.length, added.length)) {
            List<Base> childBases = new ArrayList<>(bases);
            childBases.add(new Base(key, lifetime.retainedUntilMillis()));
            return new TurnRow(writer, childLifetime, childBytes, childBases, added);
        }
        byte[] childSegment = Arrays.copyOf(segment, segment.length + added.length);
        System.arraycopy(added, 0, childSegment, segment.length, added.length);
        return new TurnRow(writer, childLifetime, childBytes, bases, childSegment);
    }

    /**
     * Returns whether a turn starts a new segment.
     *
     * @param segmentBytes size of the segment of the turn that is continued
     * @param addedBytes size of the input and output of the new turn
     */
    static boolean startsSegment(long segmentBytes, long addedBytes) {
        return segmentBytes > 0 && segmentBytes + addedBytes > MAX_SEGMENT_BYTES;
    }

    /** Returns a copy that is kept until another time. */
    public TurnRow withRetainedUntil(long millis) {
        Lifetime newLifetime = lifetime.withRetainedUntil(millis);
        return new TurnRow(writer, newLifetime, historyBytes, bases, segment);
    }

    /** Returns a copy with other known lifetimes of the bases. */
    public TurnRow withBases(List<Base> newBases) {
        return new TurnRow(writer, lifetime, historyBytes, newBases, segment);
    }

    /** Returns whether both rows have the same history, whoever wrote them. */
    public boolean hasSameContent(TurnRow other) {
        return historyBytes == other.historyBytes
                && baseKeys().equals(other.baseKeys())
                && Arrays.equals(segment, other.segment);
    }

    private List<String> baseKeys() {
        return bases.stream().map(Base::key).toList();
    }
}
