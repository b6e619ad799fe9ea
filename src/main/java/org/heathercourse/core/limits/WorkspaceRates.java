package org.heathercourse.core.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.heathercourse.core.routing.Workspace;
import org.heathercourse.core.time.Ticker;

/**
 * The parts of the workspaces' rates that this gateway owns.
 *
 * <p>An owner queues requests: one that has to wait takes a token that is not there yet and is told
 * when it will be. In any window of {@link #WINDOW_SECONDS} at most the rate and one burst are
 * admitted, over all owners and restarts.
 *
 * <p>An earlier process on the VM may have used up its part a moment ago, and may have promised
 * tokens that came later. So buckets start empty, and only when all promises have lapsed. Not safe
 * for use by several threads.
 */
public final class WorkspaceRates {
    /**
     * Part of the burst that is left to programs that have begun. A program sends a dozen requests
     * or more after the first one, and fails if they are refused.
     */
    private static final double BEGUN_PART = 0.3;

    /** Time in seconds over which no more than the rate and one burst are admitted. */
    private static final double WINDOW_SECONDS = 5;

    /**
     * Part of the burst that may come at once. The rest adds to the rate, so that a workspace at
     * its limit gets its burst in each window and not only in the first one. More than this part at
     * once waits for less than half a second.
     */
    private static final double AT_ONCE_PART = 0.5;

    /** Time in milliseconds in which a token that was given back can be used again. */
    private static final long GIVEN_BACK_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ShareHolder mShares;
    private final Ticker mTicker;
    private final long mOwnsFromNanos;
    private final Map<String, Meter> mMeters = new HashMap<>();

    /** What is kept of a workspace. */
    private static final class Meter {
        private final TokenBucket mOwned;
        private boolean mGivenBack;
        private long mGivenBackUntilNanos;

        Meter(long nowNanos) {
            mOwned = new TokenBucket(0, 0, 0, nowNanos);
        }
    }

    /**
     * Creates rates.
     *
     * @param shares fractions that this gateway owns
     * @param ticker steady time
     */
    public WorkspaceRates(ShareHolder shares, Ticker ticker) {
        mShares = shares;
        mTicker = ticker;
        mOwnsFromNanos = ticker.readNanos() + RateWaitPolicy.MAX_WAIT_MILLIS * NANOS_PER_MILLI;
    }

    // The side that asks

    /** Returns the owners of a workspace's rate, this gateway perhaps among them. */
    public List<String> owners(Workspace workspace) {
        return mShares.owners(workspace.name());
    }

    /**
     * Gives back the token of a request that no target was sent. One is kept at most, so that an
     * overload of targets does not add up to a burst of its own.
     */
    public void refund(Workspace workspace) {
        if (workspace.hasRateLimit()) {
            long now = mTicker.readNanos();
            Meter meter = meter(workspace, now);
            meter.mGivenBack = true;
            meter.mGivenBackUntilNanos = now + GIVEN_BACK_MILLIS * NANOS_PER_MILLI;
        }
    }

    /** Takes a token that was given back; returns whether there was one. */
    public boolean acquireRefunded(Workspace workspace) {
        long now = mTicker.readNanos();
        Meter meter = meter(workspace, now);
        boolean there = meter.mGivenBack && now < meter.mGivenBackUntilNanos;
        meter.mGivenBack = false;
        return there;
    }

    // The owner

    /**
     * Admits a request within the part of the rate that this gateway owns.
     *
     * @param workspace the workspace
     * @param ask what is asked for
     */
    public RateGrant reserve(Workspace workspace, RateRequest ask) {
        long now = mTicker.readNanos();
        Meter meter = meter(workspace, now);
        if (meter.mOwned.ratePerSecond() <= 0) {
            return RateGrant.NONE;
        }
        long mostNanos = ask.maxWaitMillis() * NANOS_PER_MILLI;
        double leftTokens = ask.newProgram() ? meter.mOwned.capacity() * BEGUN_PART : 0;
        long waitNanos = meter.mOwned.reserve(leftTokens, mostNanos, now);
        long waitMillis = (waitNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
        return new RateGrant(waitNanos <= mostNanos, waitMillis);
    }

    /** Fills the buckets of all workspaces, so that tokens are there before the first request. */
    public void refresh(Iterable<Workspace> workspaces) {
        long now = mTicker.readNanos();
        for (Workspace workspace : workspaces) {
            if (workspace.hasRateLimit()) {
                meter(workspace, now);
            }
        }
    }

    /** Describes the rate of a workspace and who owns it, for the log. */
    public String describe(Workspace workspace) {
        return String.format(
                Locale.ROOT,
                "%.1f/s with a burst of %.0f, owned by %s",
                workspace.ratePerSecond(),
                workspace.burst(),
                owners(workspace));
    }

    private Meter meter(Workspace workspace, long nowNanos) {
        Meter meter = mMeters.computeIfAbsent(workspace.name(), name -> new Meter(nowNanos));
        boolean owns = nowNanos >= mOwnsFromNanos;
        double fraction = owns ? mShares.fraction(workspace.name()) : 0;
        double atOnce = workspace.burst() * AT_ONCE_PART;
        double ratePerSecond =
                workspace.ratePerSecond() + (workspace.burst() - atOnce) / WINDOW_SECONDS;
        // A bucket that holds no whole token would never hand one out.
        double capacity = fraction > 0 ? Math.max(1, atOnce * fraction) : 0;
        meter.mOwned.reconfigure(ratePerSecond * fraction, capacity, nowNanos);
        return meter;
    }
}
