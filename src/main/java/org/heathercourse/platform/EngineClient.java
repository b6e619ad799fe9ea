package org.heathercourse.platform;

import java.util.List;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.Usage;

/**
 * Protocol of model engines.
 *
 * <p>{@link #generate} does not block; the other calls do. Implementations are safe for use by
 * several threads.
 */
public interface EngineClient {
    /**
     * A call for generated text.
     *
     * @param model name of the model
     * @param messages the whole conversation
     * @param maxTokens most tokens to generate
     * @param session name under which the engine keeps the cache of this conversation
     * @param callId identity of the call; a call that is resumed carries the same one
     * @param resumeFromToken number of tokens already received; 0 for a new call
     * @param priority urgency; smaller is served earlier
     * @param fence fencing number of the sender
     * @param timeoutMillis longest time without any token, in milliseconds
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

    /** Receives a generated answer. Called by one thread at a time. */
    interface Listener {
        /**
         * Called for each piece of text.
         *
         * @param index number of the piece within the answer, from 0
         * @param text the text
         */
        void onToken(int index, String text);

        /**
         * Called once at the end of a whole answer.
         *
         * @param finishReason reason as given by the engine, for instance stop or length
         * @param usage tokens used
         */
        void onComplete(String finishReason, Usage usage);

        /**
         * Called once if the answer ends early.
         *
         * @param failure what happened
         */
        void onFailure(TargetFailure failure);
    }

    /** A running call. */
    interface Call {
        /** Cancels the call; the listener is told once, with a failure that says so. */
        void cancel();
    }

    /**
     * Load of an engine as it was when the report was made.
     *
     * @param running calls in the running batch
     * @param queued calls that wait
     * @param queuedTokens prompt tokens of waiting calls that must be computed
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
     * @param cachedTokens tokens of the session now held; 0 if it was evicted or released
     */
    record CacheEvent(long sequence, String session, long cachedTokens) {}

    /**
     * An order to an engine.
     *
     * @param kind load_model, unload_model, load_adapter or set_role
     * @param subject name of the model, adapter or role
     * @param fence fencing number of the sender
     */
    record Order(String kind, String subject, long fence) {}

    /**
     * Starts a call.
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
     * @return the load, with the lag of the report
     * @throws TargetException if the engine does not answer
     */
    Load load(TargetAddress target);

    /**
     * Reads cache events.
     *
     * @param target the engine
     * @param afterSequence only events after this number
     * @return the events known to the engine, possibly late and with gaps
     * @throws TargetException if the engine does not answer
     */
    List<CacheEvent> cacheEvents(TargetAddress target, long afterSequence);

    /**
     * Lists the sessions that hold cache.
     *
     * @param target the engine
     * @return the names
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
     * @return tokens that the receiver now holds
     * @throws TargetException if either engine refuses or does not answer
     */
    long migrate(TargetAddress from, TargetAddress to, String session);

    /**
     * Gives an order.
     *
     * @param target the engine
     * @param order the order
     * @throws TargetException if the engine refuses the order or does not answer
     */
    void order(TargetAddress target, Order order);
}
