package org.heathercourse.daemon.call;

/**
 * Keeps attempts away from a target that fails repeatedly. Safe for use by several threads.
 *
 * <p>Closed lets all attempts pass; open none until a delay is over; half-open one at a time, whose
 * result decides.
 */
final class CircuitBreaker {
    private static final int FAILURES_TO_OPEN = 3;
    private static final long FIRST_OPEN_MILLIS = 1000;
    private static final long MAX_OPEN_MILLIS = 30_000;

    /** The states of a breaker. */
    enum State {
        CLOSED {
            @Override
            boolean permits(CircuitBreaker breaker, long nowMillis) {
                return true;
            }

            @Override
            void onFailure(CircuitBreaker breaker, long nowMillis) {
                if (++breaker.mFailures >= FAILURES_TO_OPEN) {
                    breaker.open(FIRST_OPEN_MILLIS, nowMillis);
                }
            }
        },
        OPEN {
            @Override
            boolean permits(CircuitBreaker breaker, long nowMillis) {
                if (nowMillis - breaker.mChangedMillis < breaker.mOpenMillis) {
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
                // A probe whose attempt was never sent must not block the target for ever.
                return !breaker.mProbing
                        || nowMillis - breaker.mChangedMillis > 2 * breaker.mOpenMillis;
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
    private long mChangedMillis;
    private long mOpenMillis = FIRST_OPEN_MILLIS;
    private boolean mProbing;

    synchronized State state() {
        return mState;
    }

    /** Returns whether an attempt may be made now. */
    synchronized boolean permits(long nowMillis) {
        return mState.permits(this, nowMillis);
    }

    synchronized void onDispatch(long nowMillis) {
        if (mState == State.HALF_OPEN) {
            mProbing = true;
            mChangedMillis = nowMillis;
        }
    }

    synchronized void onSuccess() {
        mState = State.CLOSED;
        mFailures = 0;
        mProbing = false;
    }

    synchronized void onFailure(long nowMillis) {
        mState.onFailure(this, nowMillis);
    }

    private void open(long openMillis, long nowMillis) {
        mState = State.OPEN;
        mOpenMillis = openMillis;
        mChangedMillis = nowMillis;
        mProbing = false;
    }
}
