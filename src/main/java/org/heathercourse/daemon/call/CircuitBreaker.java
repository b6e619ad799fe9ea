package org.heathercourse.daemon.call;

/**
 * Circuit breaker of one target: blocks attempts after repeated failures. Safe for use by several
 * threads.
 *
 * <p>Closed admits all attempts. Open admits none until a delay has elapsed. Half-open admits one
 * probe at a time: its success closes the breaker, its failure opens it again for twice the delay,
 * up to a maximum.
 */
final class CircuitBreaker {
    private static final int FAILURES_TO_OPEN = 3;
    private static final long INITIAL_OPEN_MILLIS = 1000;
    private static final long MAX_OPEN_MILLIS = 30_000;

    /** States of a breaker. */
    enum State {
        CLOSED {
            @Override
            boolean permits(CircuitBreaker breaker, long nowMillis) {
                return true;
            }

            @Override
            void onFailure(CircuitBreaker breaker, long nowMillis) {
                if (++breaker.mFailures >= FAILURES_TO_OPEN) {
                    breaker.open(INITIAL_OPEN_MILLIS, nowMillis);
                }
            }
        },
        OPEN {
            @Override
            boolean permits(CircuitBreaker breaker, long nowMillis) {
                if (nowMillis - breaker.mStateTimestampMillis < breaker.mOpenMillis) {
                    return false;
                }
                breaker.mState = HALF_OPEN;
                return HALF_OPEN.permits(breaker, nowMillis);
            }

            @Override
            void onFailure(CircuitBreaker breaker, long nowMillis) {
                breaker.mFailures++;
            }
        },
        HALF_OPEN {
            @Override
            boolean permits(CircuitBreaker breaker, long nowMillis) {
                // A probe whose attempt was never sent must not block the target forever.
                return !breaker.mProbeInFlight
                        || nowMillis - breaker.mStateTimestampMillis > 2 * breaker.mOpenMillis;
            }

            @Override
            void onFailure(CircuitBreaker breaker, long nowMillis) {
                breaker.open(Math.min(breaker.mOpenMillis * 2, MAX_OPEN_MILLIS), nowMillis);
            }
        };

        abstract boolean permits(CircuitBreaker breaker, long nowMillis);

        abstract void onFailure(CircuitBreaker breaker, long nowMillis);
    }

    private State mState = State.CLOSED;
    private int mFailures;
    private long mStateTimestampMillis;
    private long mOpenMillis = INITIAL_OPEN_MILLIS;
    private boolean mProbeInFlight;

    synchronized State state() {
        return mState;
    }

    /** Returns whether an attempt is admitted at the given time. */
    synchronized boolean permits(long nowMillis) {
        return mState.permits(this, nowMillis);
    }

    /** Called when an attempt is sent; in the half-open state it is the probe. */
    synchronized void onDispatch(long nowMillis) {
        if (mState == State.HALF_OPEN) {
            mProbeInFlight = true;
            mStateTimestampMillis = nowMillis;
        }
    }

    /** Called when an attempt succeeded; closes the breaker. */
    synchronized void onSuccess() {
        mState = State.CLOSED;
        mFailures = 0;
        mProbeInFlight = false;
    }

    /** Called when an attempt failed. */
    synchronized void onFailure(long nowMillis) {
        mState.onFailure(this, nowMillis);
    }

    private void open(long openMillis, long nowMillis) {
        mState = State.OPEN;
        mOpenMillis = openMillis;
        mStateTimestampMillis = nowMillis;
        mProbeInFlight = false;
    }
}
