package org.heathercourse.daemon.call;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.time.Ticker;

/** The circuit breakers of all targets. Safe for use by several threads. */
final class CircuitBreakers {
    private final Ticker mTicker;
    private final Map<TargetId, CircuitBreaker> mBreakers = new ConcurrentHashMap<>();

    CircuitBreakers(Ticker ticker) {
        mTicker = ticker;
    }

    /** Returns the targets that admit no attempt at present. */
    Set<TargetId> blockedTargets() {
        long now = mTicker.readMillis();
        return mBreakers.entrySet().stream()
                .filter(e -> !e.getValue().permits(now))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Called when an attempt is sent to a target. */
    void onDispatch(TargetId target) {
        CircuitBreaker breaker = mBreakers.get(target);
        if (breaker != null) {
            breaker.onDispatch(mTicker.readMillis());
        }
    }

    /** Called when an attempt succeeded; discards the breaker of the target. */
    void onSuccess(TargetId target) {
        mBreakers.remove(target);
    }

    /** Called when an attempt failed because of its target. */
    void onFailure(TargetId target) {
        mBreakers
                .computeIfAbsent(target, t -> new CircuitBreaker())
                .onFailure(mTicker.readMillis());
    }
}
