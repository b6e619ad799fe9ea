package org.heathercourse.testing.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One step of a program. Exactly one of the fields is set.
 *
 * @param chat a model call
 * @param call a call to a plain service
 * @param pauseMillis a pause in milliseconds, as a tool outside the system would cause
 * @param agents sub-agents that run in parallel
 */
public record TraceStep(
        Chat chat, Call call, @JsonProperty("pause_ms") Long pauseMillis, List<Agent> agents) {
    /**
     * A model call.
     *
     * @param words words of the prompt
     * @param out words that the engine is asked to generate
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
     * @param steps its steps, in order
     */
    public record Agent(List<TraceStep> steps) {}
}
