package org.heathercourse.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import javax.inject.Inject;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerMessage.CallStart;
import org.heathercourse.daemon.peer.PeerMessage.ErrorReply;
import org.heathercourse.log.EventLog;

/**
 * {@link PeerNetwork} over TCP with Netty on NIO.
 *
 * <p>Thread-safe. Life cycle: create, set the handlers, {@link #start}, {@link #close}. Links are
 * opened on demand, one per host, port and incarnation.
 */
public final class NettyPeerNetwork implements PeerNetwork {
    private static final EventLog LOG = EventLog.of(NettyPeerNetwork.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 2000;
    private static final int PING_INTERVAL_SECONDS = 5;
    // A link counts as half-open when three consecutive pings are missing.
    private static final int READ_TIMEOUT_SECONDS = 15;
    private static final int SHUTDOWN_QUIET_MILLIS = 50;
    private static final int SHUTDOWN_TIMEOUT_MILLIS = 2000;
    private static final WriteBufferWaterMark WRITE_WATER_MARKS =
            new WriteBufferWaterMark(256 * 1024, 1024 * 1024);

    private final PeerSettings mSettings;
    private final Supplier<DaemonInfo> mSelf;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Handshake mHandshake;
    private final Handshakes mHandshakes;
    private final EventLoopGroup mGroup;
    private final Map<PeerKey, OutboundLink> mLinks = new ConcurrentHashMap<>();
    private final Map<Class<?>, Function<PeerMessage, CompletionStage<? extends PeerMessage>>>
            mHandlers = new ConcurrentHashMap<>();
    private volatile BiConsumer<CallStart, CallStream> mCallHandler;
    private final ChannelGroup mChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private volatile boolean mClosed;

    /** Address of the peer of a link, and its incarnation if the policy tells them apart. */
    record PeerKey(String host, int port, long incarnation) {}

    /**
     * Creates a network that is not yet started.
     *
     * @param settings address to listen on and shared secret
     * @param self this daemon; read whenever a link is opened
     * @param ticker time source
     * @param random source of nonces and jitter; must be unpredictable in production
     */
    @Inject
    public NettyPeerNetwork(
            PeerSettings settings,
            Supplier<DaemonInfo> self,
            Ticker ticker,
            RandomGenerator random) {
        this(
                settings,
                self,
                ticker,
                random,
                new MultiThreadIoEventLoopGroup(
                        settings.threads(),
                        new DefaultThreadFactory("peer", true),
                        NioIoHandler.newFactory()));
    }

    /**
     * Creates a network that is not yet started, on a given event loop group.
     *
     * @param settings address to listen on and shared secret
     * @param self this daemon; read whenever a link is opened
     * @param ticker time source
     * @param random source of nonces and jitter; must be unpredictable in production
     * @param group event loops of the links; shut down with the network
     */
    public NettyPeerNetwork(
            PeerSettings settings,
            Supplier<DaemonInfo> self,
            Ticker ticker,
            RandomGenerator random,
            EventLoopGroup group) {
        mSettings = settings;
        mSelf = self;
        mTicker = ticker;
        mRandom = random;
        mHandshake = new Handshake(settings.secret());
        mHandshakes = new Handshakes(settings.maxHandshakes(), ticker);
        mGroup = group;
    }

    /**
     * Starts to listen and waits until the port is bound.
     *
     * @return the bound port
     * @throws HeathercourseException of kind INVALID_SETTING if the address cannot be bound
     */
    public int start() {
        try {
            return listen().join();
        } catch (CompletionException e) {
            throw e.getCause() instanceof HeathercourseException cause ? cause : e;
        }
    }

    /**
     * Starts to listen without blocking, so that it can be called on an event loop.
     *
     * @return the bound port; fails with a {@link HeathercourseException} of kind INVALID_SETTING
     *     if the address cannot be bound
     */
    public CompletableFuture<Integer> listen() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARKS)
                        .childHandler(initializer(this::acceptor));
        CompletableFuture<Integer> port = new CompletableFuture<>();
        ChannelFuture bound = bootstrap.bind(mSettings.host(), mSettings.port());
        bound.addListener(
                done -> {
                    if (done.isSuccess()) {
                        Channel server = bound.channel();
                        mChannels.add(server);
                        port.complete(((InetSocketAddress) server.localAddress()).getPort());
                    } else {
                        port.completeExceptionally(bindError(done.cause()));
                    }
                });
        return port;
    }

    private HeathercourseException bindError(Throwable cause) {
        return HeathercourseException.builder(ErrorKind.INVALID_SETTING)
                .message("cannot listen on " + mSettings.host() + ":" + mSettings.port())
                .remedy("choose a free peer port")
                .cause(cause)
                .build();
    }

    /** Returns how many connections were closed because too many had not authenticated. */
    public long closedHandshakes() {
        return mHandshakes.closedCount();
    }

    @Override
    public <R extends PeerMessage> CompletableFuture<R> request(
            DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis) {
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        if (isSelf(to)) {
            mGroup.next().execute(() -> handleRequest(message, reply::complete));
            reply.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
        } else {
            new PendingRequest(reply, message, timeoutMillis).start(link(to), mGroup.next());
        }
        return reply.handle((m, error) -> resultOf(m, error, replyType));
    }

    private static <R extends PeerMessage> R resultOf(
            PeerMessage message, Throwable error, Class<R> replyType) {
        if (error instanceof HeathercourseException e) {
            throw e;
        }
        if (error != null) {
            throw new PeerException("no reply: " + error, false, error);
        }
        if (message instanceof ErrorReply e) {
            throw PeerErrors.toException(e);
        }
        if (!replyType.isInstance(message)) {
            String actual = message == null ? "nothing" : message.getClass().getSimpleName();
            throw new PeerException(
                    "reply is " + actual + ", expected " + replyType.getSimpleName(), false, null);
        }
        return replyType.cast(message);
    }

    @Override
    public <M extends PeerMessage> void onRequest(
            Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler) {
        mHandlers.put(type, message -> handler.apply(type.cast(message)));
    }

    @Override
    public CallStream openCall(
            DaemonInfo to,
            CallStart start,
            Consumer<PeerMessage> listener,
            Consumer<PeerException> onLinkLost) {
        if (isSelf(to)) {
            EventLoop loop = mGroup.next();
            LocalCall call = new LocalCall(loop, listener);
            loop.execute(() -> dispatchCall(start, call.acceptingSide()));
            return call.openingSide();
        }
        OutboundCall call = new OutboundCall(listener, onLinkLost);
        call.start(link(to), start);
        return call;
    }

    @Override
    public void onCall(BiConsumer<CallStart, CallStream> handler) {
        mCallHandler = handler;
    }

    @Override
    public void close() {
        mClosed = true;
        mLinks.values().forEach(OutboundLink::close);
        // Without a quiet period an event loop may stop before it has closed its channels. Peers
        // then do not see the end of the link until the read timeout of 15 s, which occurred in 1
        // of 10 runs of a test.
        mChannels
                .close()
                .addListener(
                        done ->
                                mGroup.shutdownGracefully(
                                        SHUTDOWN_QUIET_MILLIS,
                                        SHUTDOWN_TIMEOUT_MILLIS,
                                        TimeUnit.MILLISECONDS));
    }

    // Links

    private boolean isSelf(DaemonInfo to) {
        DaemonInfo self = mSelf.get();
        return to.vm().equals(self.vm()) && to.incarnation() == self.incarnation();
    }

    private OutboundLink link(DaemonInfo to) {
        long incarnation = mSettings.incarnationPolicy().linkIncarnation(to.incarnation());
        PeerKey key = new PeerKey(to.host(), to.peerPort(), incarnation);
        OutboundLink link =
                mLinks.computeIfAbsent(
                        key, k -> new OutboundLink(() -> connect(to), mTicker, mRandom));
        if (mClosed) {
            link.close();
        }
        return link;
    }

    /** Connects to a peer; the future fails unless the handshake completes. */
    private CompletableFuture<Link> connect(DaemonInfo to) {
        CompletableFuture<Link> ready = new CompletableFuture<>();
        new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARKS)
                .handler(initializer(() -> opener(to, ready)))
                .connect(to.host(), to.peerPort())
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                ready.completeExceptionally(done.cause());
                            }
                        });
        return ready;
    }

    private ChannelInitializer<Channel> initializer(Supplier<LinkHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                mChannels.add(channel);
                channel.pipeline()
                        .addLast(
                                "idle",
                                new IdleStateHandler(
                                        READ_TIMEOUT_SECONDS, PING_INTERVAL_SECONDS, 0))
                        .addLast(
                                "decoder",
                                LinkHandler.decoder(LinkHandler.MAX_HANDSHAKE_FRAME_BYTES))
                        .addLast("encoder", new FrameEncoder())
                        .addLast("link", handler.get());
            }
        };
    }

    private LinkHandler acceptor() {
        return new LinkHandler(
                mHandshake,
                newHandshakeFrame(Frame.CHALLENGE),
                new DefaultLinkEvents() {
                    @Override
                    public void onFrame(Link link, Frame frame) {
                        handleInboundFrame(link, frame);
                    }

                    @Override
                    public void onAccepted(Channel channel) {
                        mHandshakes.add(channel);
                    }

                    @Override
                    public void onHandshakeEnded(Channel channel) {
                        mHandshakes.remove(channel);
                    }
                });
    }

    private LinkHandler opener(DaemonInfo to, CompletableFuture<Link> ready) {
        return new LinkHandler(
                mHandshake,
                newHandshakeFrame(Frame.HELLO),
                new DefaultLinkEvents() {
                    @Override
                    public boolean isExpectedPeer(Frame challenge) {
                        return challenge.vm().equals(to.vm().value())
                                && mSettings
                                        .incarnationPolicy()
                                        .accepts(to.incarnation(), challenge.incarnation());
                    }

                    @Override
                    public void onReady(Link link) {
                        ready.complete(link);
                    }

                    @Override
                    public void onFrame(Link link, Frame frame) {
                        link.deliver(frame.id(), frame.m());
                    }

                    @Override
                    public void onClosed(Link link, String reason) {
                        ready.completeExceptionally(new PeerException(reason, true, null));
                    }
                });
    }

    private Frame newHandshakeFrame(String kind) {
        DaemonInfo self = mSelf.get();
        byte[] nonce = Handshake.newNonce(mRandom);
        return new Frame(kind, 0, null, nonce, null, self.vm().value(), self.incarnation());
    }

    /** Default callbacks, which accept any peer and only log. */
    private abstract static class DefaultLinkEvents implements LinkHandler.Events {
        @Override
        public boolean isExpectedPeer(Frame challenge) {
            return true;
        }

        @Override
        public void onReady(Link link) {
            LOG.debug("peer_link_ready");
        }

        @Override
        public void onClosed(Link link, String reason) {
            LOG.debug("peer_link_closed", "reason", reason);
        }
    }

    // Inbound conversations

    private void handleInboundFrame(Link link, Frame frame) {
        switch (frame.k()) {
            case Frame.REQUEST ->
                    handleRequest(
                            frame.m(),
                            reply ->
                                    link.runOnEventLoop(
                                            () ->
                                                    link.write(
                                                            Frame.forMessage(
                                                                    Frame.REPLY,
                                                                    frame.id(),
                                                                    reply))));
            case Frame.CALL -> acceptCall(link, frame);
            case Frame.MESSAGE -> link.deliver(frame.id(), frame.m());
            default -> LOG.debug("peer_frame_ignored", "kind", frame.k());
        }
    }

    private void acceptCall(Link link, Frame frame) {
        Link.InboundCall call = new Link.InboundCall(link, frame.id());
        if (!(frame.m() instanceof CallStart start) || !link.acceptConversation(frame.id(), call)) {
            link.close();
            return;
        }
        dispatchCall(start, call);
    }

    private void dispatchCall(CallStart start, CallStream stream) {
        BiConsumer<CallStart, CallStream> handler = mCallHandler;
        try {
            if (handler == null) {
                stream.send(PeerErrors.noHandler());
            } else {
                handler.accept(start, stream);
            }
        } catch (RuntimeException e) {
            LOG.error("peer_call_handler_failed", e);
            stream.send(PeerErrors.toMessage(e));
        }
    }

    private void handleRequest(PeerMessage message, Consumer<PeerMessage> reply) {
        var handler = message == null ? null : mHandlers.get(message.getClass());
        if (handler == null) {
            reply.accept(PeerErrors.noHandler());
            return;
        }
        try {
            handler.apply(message)
                    .whenComplete(
                            (m, error) ->
                                    reply.accept(error == null ? m : PeerErrors.toMessage(error)));
        } catch (RuntimeException e) {
            reply.accept(PeerErrors.toMessage(e));
        }
    }
}
