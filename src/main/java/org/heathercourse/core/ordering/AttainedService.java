package org.heathercourse.core.ordering;

import java.util.LinkedHashMap;
import java.util.Map;
import org.heathercourse.core.model.ProgramId;

/**
 * Attained service of programs, the engine time that each has received.
 *
 * <p>The size is bounded: above the limit the least recently used program is evicted and counts as
 * new. Not thread-safe.
 */
public final class AttainedService {
    private final LinkedHashMap<ProgramId, Double> mServiceMillis;

    /**
     * Creates an instance without programs.
     *
     * @param maxPrograms maximum number of recorded programs
     */
    public AttainedService(int maxPrograms) {
        mServiceMillis =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<ProgramId, Double> eldest) {
                        return size() > maxPrograms;
                    }
                };
    }

    /** Adds service in milliseconds of an engine; negative values correct an earlier estimate. */
    public void add(ProgramId program, double serviceMillis) {
        mServiceMillis.merge(program, serviceMillis, (a, b) -> Math.max(0, a + b));
    }

    /** Returns the received service in milliseconds of an engine; 0 for unknown programs. */
    public double serviceMillis(ProgramId program) {
        return mServiceMillis.getOrDefault(program, 0.0);
    }

    /** Removes a program. */
    public void remove(ProgramId program) {
        mServiceMillis.remove(program);
    }

    /** Returns the number of recorded programs. */
    public int size() {
        return mServiceMillis.size();
    }
}
