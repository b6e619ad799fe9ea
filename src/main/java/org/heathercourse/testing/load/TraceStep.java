package org.heathercourse.testing.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A step of a program. Exactly one component is non-null. Immutable.
 *
 * @param chat a model call
 * @param call a call to a plain service
 * @param pauseMillis a pause in milliseconds, which simulates a tool outside the system
 * @param agents sub-agents that run in parallel
 */
public record TraceStep(
        Chat chat, Call call, @JsonProperty("pause_ms") Long pauseMillis, List<Agent> agents) {
    /**
     * A model call.
     *
     * @param words number of filler words in the prompt
     * @param out number of filler words that the engine generates
     */
    public record Chat(int words, int out) {}

    /**
     * A call to a plain service.
     *
     * @param path path below the service
     * @param method HTTP method
     */
    public record Call(String path, String method) {}

    /**
     * A sub-agent.
     *
     * @param steps steps in order of execution
     */
    public record Agent(List<TraceStep> steps) {}
}
