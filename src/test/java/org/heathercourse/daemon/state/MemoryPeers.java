package org.heathercourse.daemon.state;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.peer.PeerException;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerNetwork;

/** In-memory network between engines that answers synchronously; daemons can be partitioned. */
final class MemoryPeers {
    public final Set<String> unreachable = ConcurrentHashMap.newKeySet();
    private final Map<String, Function<PeerMessage, CompletionStage<? extends PeerMessage>>>
            mHandlers = new ConcurrentHashMap<>();

    PeerNetwork networkOf(String vm) {
        return new Network(vm);
    }

    private final class Network implements PeerNetwork {
        private final String mVm;

        Network(String vm) {
            mVm = vm;
        }

        @Override
        public <R extends PeerMessage> CompletableFuture<R> request(
                DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis) {
            String vm = to.vm().value();
            var handler = mHandlers.get(vm + message.getClass().getName());
            if (handler == null || unreachable.contains(vm) || unreachable.contains(mVm)) {
                return CompletableFuture.failedFuture(new IllegalStateException("no link"));
            }
            try {
                return handler.apply(message).toCompletableFuture().thenApply(replyType::cast);
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        @Override
        public <M extends PeerMessage> void onRequest(
                Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler) {
            mHandlers.put(mVm + type.getName(), message -> handler.apply(type.cast(message)));
        }

        @Override
        public CallStream openCall(
                DaemonInfo to,
                PeerMessage.CallStart start,
                Consumer<PeerMessage> listener,
                Consumer<PeerException> onLinkLost) {
            throw new UnsupportedOperationException("calls are not part of these tests");
        }

        @Override
        public void onCall(BiConsumer<PeerMessage.CallStart, CallStream> handler) {
            throw new UnsupportedOperationException("calls are not part of these tests");
        }

        @Override
        public void close() {}
    }
}
