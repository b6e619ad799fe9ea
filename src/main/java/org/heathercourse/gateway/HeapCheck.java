package org.heathercourse.gateway;

import java.util.Optional;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.SettingProblem;
import org.heathercourse.daemon.settings.Settings;

/** Checks at the start that the heap has room for what the settings allow it to keep. Stateless. */
final class HeapCheck {
    /** The other half is for everything else, and for arrays that are copied while they grow. */
    private static final int MAX_BUFFER_DIVISOR = 2;

    private HeapCheck() {}

    /**
     * Checks {@link Setting#MAX_BUFFER_BYTES}.
     *
     * @param settings settings of the gateway
     * @param maxHeapBytes maximum size of the heap in bytes
     * @return the problem, if there is one
     */
    static Optional<SettingProblem> check(Settings settings, long maxHeapBytes) {
        long bufferBytes = settings.number(Setting.MAX_BUFFER_BYTES);
        long maxBufferBytes = maxHeapBytes / MAX_BUFFER_DIVISOR;
        if (bufferBytes <= maxBufferBytes) {
            return Optional.empty();
        }
        return Optional.of(
                new SettingProblem(
                        Setting.MAX_BUFFER_BYTES.environmentVariable(),
                        Long.toString(bufferBytes),
                        "at most " + maxBufferBytes + ", half of the heap",
                        "set a smaller value, or a larger heap with -Xmx"));
    }
}
