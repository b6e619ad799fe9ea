package org.heathercourse.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.ownership.DaemonInfo;

/**
 * Exchanges messages with other daemons over authenticated links that are opened on demand.
 *
 * <p>Safe for use by several threads; does not block. Handlers and listeners run on threads of the
 * network and must not block.
 */
public interface PeerNetwork extends AutoCloseable {
    /**
     * Sends a request.
     *
     * @param to the daemon; a daemon may send to itself
     * @param message the request
     * @param replyType type of the reply
     * @param timeoutMillis longest time to wait for the reply, in milliseconds
     * @param <R> type of the reply
     * @return the reply; fails with a {@link PeerException} if there is no reply, or with the
     *     {@link HeathercourseException} that the peer answered
     */
    <R extends PeerMessage> CompletableFuture<R> request(
            DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis);

    /**
     * Sets the handler for a type of request.
     *
     * @param type the type
     * @param handler returns the reply; a {@link HeathercourseException} is passed back to the
     *     sender
     * @param <M> the type
     */
    <M extends PeerMessage> void onRequest(
            Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler);

    /**
     * Opens a call.
     *
     * @param to the daemon
     * @param start the first message
     * @param listener receives head, chunks and one last message: {@link PeerMessage.CallEnd} or
     *     {@link PeerMessage.ErrorReply}
     * @param onLinkLost called once in place of the last message if the link breaks; its argument
     *     tells whether the first message was certainly not sent
     * @return sends {@link PeerMessage.CallBody} and {@link PeerMessage.CallCancel}
     */
    CallStream openCall(
            DaemonInfo to,
            PeerMessage.CallStart start,
            Consumer<PeerMessage> listener,
            Consumer<PeerException> onLinkLost);

    /**
     * Sets the handler for calls that other daemons open.
     *
     * @param handler gets the first message and the stream on which it answers
     */
    void onCall(BiConsumer<PeerMessage.CallStart, CallStream> handler);

    /** One side of an open call. Safe for use by several threads. */
    interface CallStream {
        /**
         * Sends a message to the other side. Messages arrive in the order in which they were sent.
         *
         * @param message the message
         */
        void send(PeerMessage message);

        /**
         * Sets what receives messages of the other side after the first one.
         *
         * @param listener the listener
         */
        void onMessage(Consumer<PeerMessage> listener);

        /**
         * Sets what is run once if the link breaks.
         *
         * @param action the action
         */
        void onLinkLost(Runnable action);

        /** Returns whether the link takes more without buffering without bound. */
        default boolean writable() {
            return true;
        }

        /**
         * Runs an action once as soon as {@link #writable()} holds, or the link has broken.
         *
         * @param action the action
         */
        default void onWritable(Runnable action) {
            action.run();
        }
    }

    @Override
    void close();
}
