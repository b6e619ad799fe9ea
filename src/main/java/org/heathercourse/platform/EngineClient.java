package org.heathercourse.platform;

import java.util.List;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.Usage;

/**
 * Client of model engines.
 *
 * <p>{@link #generate} does not block; the other calls do. Implementations are safe for use by
 * several threads.
 */
public interface EngineClient {
    /**
     * A request to generate text.
     *
     * @param model name of the model
     * @param messages the whole conversation
     * @param maxTokens maximum number of tokens to generate
     * @param session name under which the engine keeps the cache of this conversation
     * @param callId identity of the call; a resumed call has the identity of the original one
     * @param resumeFromToken number of tokens already received; 0 for a new call
     * @param priority priority; a smaller number is served earlier
     * @param fence fencing number of the sender
     * @param timeoutMillis maximum time between two tokens, in milliseconds
     * @param extraJson other fields of the caller's JSON body that are passed on, as a JSON object;
     *     empty if there are none
     */
    record GenerateRequest(
            String model,
            List<ChatMessage> messages,
            int maxTokens,
            String session,
            String callId,
            int resumeFromToken,
            int priority,
            long fence,
            long timeoutMillis,
            String extraJson) {
        /** Copies the conversation. */
        public GenerateRequest {
            messages = List.copyOf(messages);
        }
    }

    /** Receives a generated answer. Its methods are called by one thread at a time. */
    interface Listener {
        /**
         * Called for each chunk of text, which counts as one token.
         *
         * @param index number of the chunk within the answer, from 0
         * @param text text of the chunk
         */
        void onToken(int index, String text);

        /**
         * Called once when the answer is complete.
         *
         * @param finishReason reason that the engine reports, for instance stop or length
         * @param usage tokens used
         */
        void onComplete(String finishReason, Usage usage);

        /**
         * Called once if the answer ends before it is complete.
         *
         * @param failure cause of the end
         */
        void onFailure(TargetFailure failure);
    }

    /** A running call. */
    interface Call {
        /**
         * Cancels the call. Unless the call has ended before, the listener receives a failure of
         * kind {@link TargetFailure.Kind#CANCELLED}.
         */
        void cancel();
    }

    /**
     * Load report of an engine.
     *
     * @param running calls in the running batch
     * @param queued calls in the queue
     * @param queuedTokens prompt tokens of queued calls that must be computed
     * @param cacheUsedTokens tokens held in the prefix cache
     * @param cacheCapacityTokens tokens that the prefix cache can hold
     * @param models names of the loaded models
     * @param ageMillis age of the report in milliseconds when it was sent
     */
    record Load(
            int running,
            int queued,
            long queuedTokens,
            long cacheUsedTokens,
            long cacheCapacityTokens,
            List<String> models,
            long ageMillis) {}

    /**
     * A change of an engine's cache.
     *
     * @param sequence number of the event at its engine; a missing number is a gap
     * @param session session whose cache changed
     * @param cachedTokens tokens of the session that the cache holds since the event; 0 if the
     *     session was evicted or released
     */
    record CacheEvent(long sequence, String session, long cachedTokens) {}

    /**
     * An administrative command to an engine.
     *
     * @param kind load_model, unload_model, load_adapter or set_role
     * @param subject name of the model, adapter or role
     * @param fence fencing number of the sender
     */
    record Order(String kind, String subject, long fence) {}

    /**
     * Starts a call without blocking.
     *
     * @param target the engine
     * @param request the call
     * @param listener receives the answer
     * @return the running call
     */
    Call generate(TargetAddress target, GenerateRequest request, Listener listener);

    /**
     * Reads the load of an engine.
     *
     * @param target the engine
     * @return the load, with the age of the report
     * @throws TargetException if the engine does not answer
     */
    Load load(TargetAddress target);

    /**
     * Reads cache events.
     *
     * @param target the engine
     * @param afterSequence only events after this number
     * @return the events that the engine still holds; they may be late and have gaps
     * @throws TargetException if the engine does not answer
     */
    List<CacheEvent> cacheEvents(TargetAddress target, long afterSequence);

    /**
     * Lists the sessions in the cache of an engine.
     *
     * @param target the engine
     * @return the names of the sessions
     * @throws TargetException if the engine does not answer
     */
    List<String> sessions(TargetAddress target);

    /**
     * Releases the cache of a session; releasing an unknown session is no error.
     *
     * @param target the engine
     * @param session the session
     * @throws TargetException if the engine does not confirm
     */
    void release(TargetAddress target, String session);

    /**
     * Copies the cache of a session from one engine to another.
     *
     * @param from engine that holds the cache
     * @param to engine that receives it
     * @param session the session
     * @return tokens that the receiving engine holds after the copy
     * @throws TargetException if either engine refuses or does not answer
     */
    long migrate(TargetAddress from, TargetAddress to, String session);

    /**
     * Sends an order to an engine and waits for its confirmation.
     *
     * @param target the engine
     * @param order the order
     * @throws TargetException if the engine refuses the order or does not answer
     */
    void order(TargetAddress target, Order order);
}
