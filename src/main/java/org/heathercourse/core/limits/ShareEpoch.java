package org.heathercourse.core.limits;

/**
 * One version of the share table together with the preceding version. Immutable.
 *
 * <p>Both versions are stored so that a gateway that starts can determine which fractions other
 * gateways may still be using.
 *
 * @param number number of the version; consecutive versions differ by 1
 * @param current share table of this version
 * @param previous share table of the preceding version; equal to {@code current} in the first
 *     version
 */
public record ShareEpoch(long number, ShareTable current, ShareTable previous) {
    /** Returns the first version of a share table. */
    public static ShareEpoch first(ShareTable table) {
        return new ShareEpoch(1, table, table);
    }

    /** Returns the version that follows this one and has the given table. */
    public ShareEpoch next(ShareTable table) {
        return new ShareEpoch(number + 1, table, current);
    }
}
