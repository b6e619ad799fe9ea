package org.heathercourse.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.ownership.DaemonInfo;

/**
 * Network that exchanges messages with other daemons over authenticated links. Links are opened on
 * demand.
 *
 * <p>Thread-safe; does not block. Handlers and listeners run on threads of the network and must not
 * block.
 */
public interface PeerNetwork extends AutoCloseable {
    /**
     * Sends a request.
     *
     * @param to the receiving daemon, which may be this one
     * @param message the request
     * @param replyType type of the reply
     * @param timeoutMillis timeout of the request, in milliseconds
     * @param <R> type of the reply
     * @return the reply; fails with a {@link PeerException} if there is no reply or one of another
     *     type, or with the {@link HeathercourseException} with which the peer answered
     */
    <R extends PeerMessage> CompletableFuture<R> request(
            DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis);

    /**
     * Sets the handler for a type of request.
     *
     * @param type type of the request
     * @param handler returns the reply; if it fails, the error is sent back as an {@link
     *     PeerMessage.ErrorReply}
     * @param <M> type of the request
     */
    <M extends PeerMessage> void onRequest(
            Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler);

    /**
     * Opens a call.
     *
     * @param to the receiving daemon, which may be this one
     * @param start the first message
     * @param listener receives head, chunks and one last message: {@link PeerMessage.CallEnd} or
     *     {@link PeerMessage.ErrorReply}
     * @param onLinkLost called once in place of the last message if the link breaks; its argument
     *     states whether it is certain that the first message was not sent
     * @return stream for {@link PeerMessage.CallBody} and {@link PeerMessage.CallCancel}
     */
    CallStream openCall(
            DaemonInfo to,
            PeerMessage.CallStart start,
            Consumer<PeerMessage> listener,
            Consumer<PeerException> onLinkLost);

    /**
     * Sets the handler for calls that other daemons open.
     *
     * @param handler receives the first message and the stream for the answer
     */
    void onCall(BiConsumer<PeerMessage.CallStart, CallStream> handler);

    /** One side of an open call. Thread-safe. */
    interface CallStream {
        /**
         * Sends a message to the other side. Messages arrive in the order in which they were sent.
         *
         * @param message the message
         */
        void send(PeerMessage message);

        /**
         * Sets the receiver of the messages of the other side, except for the first one.
         *
         * @param listener the listener
         */
        void onMessage(Consumer<PeerMessage> listener);

        /**
         * Sets an action that runs once if the link breaks.
         *
         * @param action the action
         */
        void onLinkLost(Runnable action);

        /** Returns whether the write buffer of the link is below its limit. */
        default boolean writable() {
            return true;
        }

        /**
         * Runs an action once, as soon as {@link #writable()} returns true or the link breaks.
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
