package org.heathercourse.core.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.heathercourse.core.routing.Workspace;
import org.heathercourse.core.time.Ticker;

/**
 * Admits requests within the parts of the workspaces' rates that this gateway owns.
 *
 * <p>A request that has to wait reserves a future token and gets the time until it is available. In
 * any window of {@link #WINDOW_SECONDS} at most the rate and one burst are admitted, over all
 * owners and restarts.
 *
 * <p>An earlier process on the VM may have used its part shortly before it ended, and may have
 * reserved future tokens. Buckets therefore start empty, and start to fill only after the longest
 * possible reservation has passed. Not safe for use by several threads.
 */
public final class WorkspaceRates {
    /**
     * Ratio of the burst that is reserved for programs that have begun. A program sends a dozen
     * requests or more after the first one, and fails if they are rejected.
     */
    private static final double BEGUN_PROGRAM_BURST_RATIO = 0.3;

    /** Time in seconds over which no more than the rate and one burst are admitted. */
    private static final double WINDOW_SECONDS = 5;

    /**
     * Ratio of the burst that may be admitted at once. The rest is added to the rate, so that a
     * workspace at its limit gets its burst in each window and not only in the first one. Requests
     * beyond this ratio wait for less than half a second.
     */
    private static final double IMMEDIATE_BURST_RATIO = 0.5;

    /**
     * Burst in requests up to which all of it may be admitted at once. A program sends about this
     * many calls together; half of a small burst would reject most of them, however idle the
     * workspace was before.
     */
    private static final double WHOLE_BURST_REQUESTS = 10;

    /** Time in milliseconds during which a refunded token can be used again. */
    private static final long REFUND_VALID_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RateFractions mShares;
    private final Ticker mTicker;
    private final long mGrantsFromNanos;
    private final Map<String, RateState> mRateStates = new HashMap<>();

    /** The owned part of one workspace's rate and its refunded token. */
    private static final class RateState {
        private final TokenBucket mBucket;
        private boolean mRefunded;
        private long mRefundValidUntilNanos;

        RateState(long nowNanos) {
            mBucket = new TokenBucket(0, 0, 0, nowNanos);
        }
    }

    /**
     * Creates an instance that grants nothing until reservations of an earlier process have passed.
     *
     * @param shares fractions that this gateway owns
     * @param ticker monotonic time source
     */
    public WorkspaceRates(RateFractions shares, Ticker ticker) {
        mShares = shares;
        mTicker = ticker;
        mGrantsFromNanos = ticker.readNanos() + RateWaitPolicy.MAX_WAIT_MILLIS * NANOS_PER_MILLI;
    }

    // Requesting side

    /** Returns the VMs that own a workspace's rate, which may include this gateway. */
    public List<String> owners(Workspace workspace) {
        return mShares.owners(workspace.name());
    }

    /**
     * Refunds the token of a request that was sent to no target. At most one token is kept, so that
     * an overload of targets does not accumulate into a burst of refunded tokens.
     */
    public void refund(Workspace workspace) {
        if (workspace.hasRateLimit()) {
            long now = mTicker.readNanos();
            RateState rateState = rateState(workspace, now);
            rateState.mRefunded = true;
            rateState.mRefundValidUntilNanos = now + REFUND_VALID_MILLIS * NANOS_PER_MILLI;
        }
    }

    /** Acquires a refunded token; returns whether one was available. */
    public boolean acquireRefunded(Workspace workspace) {
        long now = mTicker.readNanos();
        RateState rateState = rateState(workspace, now);
        boolean available = rateState.mRefunded && now < rateState.mRefundValidUntilNanos;
        rateState.mRefunded = false;
        return available;
    }

    // Owning side

    /**
     * Admits a request within the part of the rate that this gateway owns.
     *
     * @param workspace the workspace
     * @param request the request for a token
     * @return the reply; {@link RateGrant#NONE} if this gateway owns no part of the rate now
     */
    public RateGrant reserve(Workspace workspace, RateRequest request) {
        long now = mTicker.readNanos();
        RateState rateState = rateState(workspace, now);
        if (rateState.mBucket.ratePerSecond() <= 0) {
            return RateGrant.NONE;
        }
        long maxWaitNanos = request.maxWaitMillis() * NANOS_PER_MILLI;
        double remainingTokens =
                request.newProgram() ? rateState.mBucket.capacity() * BEGUN_PROGRAM_BURST_RATIO : 0;
        long waitNanos = rateState.mBucket.reserve(remainingTokens, maxWaitNanos, now);
        long waitMillis = (waitNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
        return new RateGrant(waitNanos <= maxWaitNanos, waitMillis);
    }

    /**
     * Fills the buckets of the given workspaces, so that tokens are available before their first
     * request.
     */
    public void refresh(Iterable<Workspace> workspaces) {
        long now = mTicker.readNanos();
        for (Workspace workspace : workspaces) {
            if (workspace.hasRateLimit()) {
                rateState(workspace, now);
            }
        }
    }

    /** Returns a description of a workspace's rate and its owners, for messages. */
    public String describe(Workspace workspace) {
        return String.format(
                Locale.ROOT,
                "%.1f/s with a burst of %.0f, owned by %s",
                workspace.ratePerSecond(),
                workspace.burst(),
                owners(workspace));
    }

    private RateState rateState(Workspace workspace, long nowNanos) {
        RateState rateState =
                mRateStates.computeIfAbsent(workspace.name(), name -> new RateState(nowNanos));
        boolean canGrant = nowNanos >= mGrantsFromNanos;
        double fraction = canGrant ? mShares.fraction(workspace.name()) : 0;
        double immediateBurst = immediateBurst(workspace.burst());
        double ratePerSecond =
                workspace.ratePerSecond() + (workspace.burst() - immediateBurst) / WINDOW_SECONDS;
        // A bucket with a capacity below one token would never grant one.
        double capacity = fraction > 0 ? Math.max(1, immediateBurst * fraction) : 0;
        rateState.mBucket.reconfigure(ratePerSecond * fraction, capacity, nowNanos);
        return rateState;
    }

    private static double immediateBurst(double burst) {
        return Math.max(burst * IMMEDIATE_BURST_RATIO, Math.min(burst, WHOLE_BURST_REQUESTS));
    }
}
