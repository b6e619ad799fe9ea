package org.heathercourse.gateway.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The programs that an owner of budgets has in memory. Confined to the control thread.
 *
 * <p>Callers choose the names of programs, and a refused turn costs them nothing. The number of
 * programs is therefore bounded; the row of a program has all that is needed to go on.
 */
final class BudgetAccounts {
    /**
     * Maximum number of programs in memory, each of which takes up to 1 KB. Several times the
     * number of programs that one owner of a large fleet has under way.
     */
    static final int MAX_PROGRAMS = 4_096;

    /** Maximum number of programs that are looked at in search of one without any tokens. */
    private static final int MAX_EVICTION_TRIES = 64;

    /** Time in milliseconds without use after which a program is evicted from memory. */
    static final long IDLE_EVICTION_MILLIS = 180_000;

    /** The accounts in the order of their last use. */
    private final Map<String, BudgetAccount> mAccounts = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Returns the account of a program, which counts as used.
     *
     * @param program key of the program
     * @param nowMillis time in milliseconds of the ticker
     * @return the account; empty if there are as many as allowed and all wait for the store
     */
    Optional<BudgetAccount> open(String program, long nowMillis) {
        evictIdle(nowMillis);
        if (!mAccounts.containsKey(program) && !makeRoom()) {
            return Optional.empty();
        }
        mAccounts.computeIfAbsent(program, BudgetAccount::new);
        return Optional.of(use(program, nowMillis));
    }

    /** Returns the account of a program, which counts as used; null if there is none. */
    BudgetAccount use(String program, long nowMillis) {
        BudgetAccount account = mAccounts.get(program);
        if (account != null) {
            account.mLastUsedMillis = nowMillis;
        }
        return account;
    }

    /** Returns all accounts. */
    List<BudgetAccount> all() {
        return List.copyOf(mAccounts.values());
    }

    /** Returns the number of accounts. */
    int size() {
        return mAccounts.size();
    }

    private void evictIdle(long nowMillis) {
        var leastRecentlyUsed = mAccounts.values().iterator();
        while (leastRecentlyUsed.hasNext()) {
            BudgetAccount account = leastRecentlyUsed.next();
            if (nowMillis - account.mLastUsedMillis < IDLE_EVICTION_MILLIS) {
                return;
            }
            if (!account.mStoreCallPending) {
                leastRecentlyUsed.remove();
            }
        }
    }

    /**
     * Evicts a program if there are as many as allowed: one of the least recently used ones that
     * has no tokens, or else the first that waits for nothing, whose tokens then count as spent.
     *
     * @return false if all that were looked at wait for the store
     */
    private boolean makeRoom() {
        if (mAccounts.size() < MAX_PROGRAMS) {
            return true;
        }
        BudgetAccount evicted = null;
        int tries = 0;
        for (BudgetAccount account : mAccounts.values()) {
            if (++tries > MAX_EVICTION_TRIES || evicted != null && evicted.isEmpty()) {
                break;
            }
            if (account.isEmpty() || evicted == null && !account.isWaiting()) {
                evicted = account;
            }
        }
        return evicted != null && mAccounts.remove(evicted.mProgram) != null;
    }
}
