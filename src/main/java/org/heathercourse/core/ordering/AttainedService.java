package org.heathercourse.core.ordering;

import java.util.LinkedHashMap;
import java.util.Map;
import org.heathercourse.core.model.ProgramId;

/**
 * Remembers the service that programs have received.
 *
 * <p>Bounded: above the limit the program that was served least recently is forgotten and counts as
 * new. Not safe for several threads.
 */
public final class AttainedService {
    private final LinkedHashMap<ProgramId, Double> mServiceMillis;

    /**
     * Creates an empty memory.
     *
     * @param maxPrograms most programs to remember
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

    /** Adds service in milliseconds of an engine; negative to take back an estimate. */
    public void add(ProgramId program, double serviceMillis) {
        mServiceMillis.merge(program, serviceMillis, (a, b) -> Math.max(0, a + b));
    }

    /** Returns the service received so far in milliseconds of an engine. */
    public double serviceMillis(ProgramId program) {
        return mServiceMillis.getOrDefault(program, 0.0);
    }

    /** Forgets a program. */
    public void remove(ProgramId program) {
        mServiceMillis.remove(program);
    }

    /** Returns the number of programs remembered. */
    public int size() {
        return mServiceMillis.size();
    }
}
