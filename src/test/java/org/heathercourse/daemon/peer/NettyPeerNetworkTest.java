package org.heathercourse.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.awaitility.Awaitility.await;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerMessage.CallBody;
import org.heathercourse.daemon.peer.PeerMessage.CallChunk;
import org.heathercourse.daemon.peer.PeerMessage.CallEnd;
import org.heathercourse.daemon.peer.PeerMessage.CallHead;
import org.heathercourse.daemon.peer.PeerMessage.CallStart;
import org.heathercourse.daemon.peer.PeerMessage.ProgramOp;
import org.heathercourse.daemon.peer.PeerMessage.ProgramOpReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Requests, calls, authentication and failure handling of the network between daemons. */
class NettyPeerNetworkTest {
    private static final ProgramOp OP = new ProgramOp("show", "w", "p", "{}");

    private NettyPeerNetwork mA;
    private NettyPeerNetwork mB;
    private DaemonInfo mInfoB;

    private static NettyPeerNetwork network(DaemonInfo self, String secret) {
        PeerSettings settings =
                new PeerSettings("127.0.0.1", 0, secret.getBytes(StandardCharsets.UTF_8), 1);
        return new NettyPeerNetwork(
                settings, () -> self, Ticker.system(), new SplittableRandom(secret.hashCode()));
    }

    private static DaemonInfo info(String vm, long incarnation, int port) {
        return new DaemonInfo(
                new VmId(vm), incarnation, new Zone("z"), "127.0.0.1", 1, port, 3, 1, 2000, false);
    }

    @BeforeEach
    void start() {
        mA = network(info("a", 1, 0), "s");
        mB = network(info("b", 5, 0), "s");
        mA.start();
        mInfoB = info("b", 5, mB.start());
        mB.onRequest(
                ProgramOp.class,
                op -> CompletableFuture.completedFuture(new ProgramOpReply(op.program())));
    }

    @AfterEach
    void stop() {
        mA.close();
        mB.close();
    }

    private PeerException failure(NettyPeerNetwork from, DaemonInfo to, long timeoutMillis) {
        CompletionException e =
                catchThrowableOfType(
                        CompletionException.class,
                        () -> from.request(to, OP, ProgramOpReply.class, timeoutMillis).join());
        return (PeerException) e.getCause();
    }

    /** Guards against replies that complete the wrong request. */
    @Test
    void correlatesRepliesOutOfOrder() {
        List<CompletableFuture<Void>> gates = new CopyOnWriteArrayList<>();
        mB.onRequest(
                ProgramOp.class,
                op -> {
                    CompletableFuture<Void> gate = new CompletableFuture<>();
                    gates.add(gate);
                    return gate.thenApply(v -> new ProgramOpReply(op.program()));
                });
        List<CompletableFuture<ProgramOpReply>> replies = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 50; i++) {
            ProgramOp op = new ProgramOp("show", "w", "p" + i, "{}");
            replies.add(mA.request(mInfoB, op, ProgramOpReply.class, 10_000));
        }
        await().until(() -> gates.size() == 50);
        for (int i = 49; i >= 0; i--) {
            gates.get(i).complete(null);
        }
        for (int i = 0; i < 50; i++) {
            assertThat(replies.get(i).join().json()).isEqualTo("p" + i);
        }
    }

    /** Guards against errors that lose their kind or remedy in transit. */
    @Test
    void returnsErrorsWithTheirKind() {
        mB.onRequest(
                ProgramOp.class,
                op -> {
                    throw new HeathercourseException(ErrorKind.UNKNOWN_PROGRAM, "none", "start it");
                });
        CompletionException e =
                catchThrowableOfType(
                        CompletionException.class,
                        () -> mA.request(mInfoB, OP, ProgramOpReply.class, 5000).join());
        HeathercourseException cause = (HeathercourseException) e.getCause();
        assertThat(cause.kind()).isEqualTo(ErrorKind.UNKNOWN_PROGRAM);
        assertThat(cause.remedy()).isEqualTo("start it");
    }

    /** Guards against requests over a link to a peer with a wrong secret or incarnation. */
    @Test
    void rejectsUnauthenticatedPeersBeforeAnythingIsSent() {
        AtomicInteger handled = new AtomicInteger();
        mB.onRequest(
                ProgramOp.class,
                op -> {
                    handled.incrementAndGet();
                    return CompletableFuture.completedFuture(new ProgramOpReply("{}"));
                });
        NettyPeerNetwork unauthenticated = network(info("c", 1, 0), "other");
        try {
            assertThat(failure(unauthenticated, mInfoB, 5000).notSent()).isTrue();
        } finally {
            unauthenticated.close();
        }
        assertThat(failure(mA, info("b", 4, mInfoB.peerPort()), 5000).notSent()).isTrue();
        assertThat(handled.get()).isZero();
    }

    /** Guards against the report "not sent" if the peer may have processed the message. */
    @Test
    void reportsWhetherRequestMayHaveArrived() {
        mB.onRequest(ProgramOp.class, op -> new CompletableFuture<ProgramOpReply>());
        assertThat(failure(mA, mInfoB, 300).notSent()).isFalse();
        CompletableFuture<PeerException> lost = new CompletableFuture<>();
        mB.onCall((start, stream) -> mB.close());
        mA.openCall(mInfoB, new CallStart("{}", new byte[0], true), m -> {}, lost::complete);
        assertThat(lost.join().notSent()).isFalse();
        CompletableFuture<PeerException> notSent = new CompletableFuture<>();
        await().until(() -> failure(mA, mInfoB, 2000).notSent());
        mA.openCall(mInfoB, new CallStart("{}", new byte[0], true), m -> {}, notSent::complete);
        assertThat(notSent.join().notSent()).isTrue();
    }

    /**
     * Guards against a call that is opened because a request timed out and that is sent on the
     * unresponsive link, which is then closed under it.
     */
    @Test
    void callOpenedAfterTimeoutGetsNewLink() {
        mB.onRequest(ProgramOp.class, op -> new CompletableFuture<ProgramOpReply>());
        mB.onCall((start, stream) -> stream.send(new CallEnd("durable")));
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        mA.request(mInfoB, OP, ProgramOpReply.class, 300)
                .whenComplete(
                        (reply, error) ->
                                mA.openCall(
                                        mInfoB,
                                        new CallStart("{}", new byte[0], true),
                                        outcome::complete,
                                        outcome::complete));
        assertThat(outcome.join()).isInstanceOf(CallEnd.class);
    }

    /**
     * Guards against requests that fail after a restart of all peers until their new incarnations
     * are known, and against links to processes that ended.
     */
    @Test
    void policyDecidesWhetherNewerIncarnationIsAccepted() {
        PeerSettings settings =
                new PeerSettings("127.0.0.1", 0, "s".getBytes(StandardCharsets.UTF_8), 1)
                        .withIncarnationPolicy(IncarnationPolicy.SAME_OR_NEWER);
        DaemonInfo self = info("c", 1, 0);
        NettyPeerNetwork lenient =
                new NettyPeerNetwork(
                        settings, () -> self, Ticker.system(), new SplittableRandom(5));
        try {
            DaemonInfo older = info("b", mInfoB.incarnation() - 1, mInfoB.peerPort());
            assertThat(lenient.request(older, OP, ProgramOpReply.class, 5000).join().json())
                    .isEqualTo("p");
            DaemonInfo newer = info("b", mInfoB.incarnation() + 1, mInfoB.peerPort());
            assertThat(failure(mA, older, 5000).notSent()).isTrue();
            assertThat(failure(mA, newer, 5000).notSent()).isTrue();
        } finally {
            lenient.close();
        }
    }

    /** Guards against a link that is not reopened after its peer was restarted. */
    @Test
    void reopensLinkAfterItBroke() {
        assertThat(mA.request(mInfoB, OP, ProgramOpReply.class, 5000).join().json()).isEqualTo("p");
        mB.close();
        // Closing is asynchronous, so a request immediately afterwards may still be answered.
        await().until(
                        () ->
                                mA.request(mInfoB, OP, ProgramOpReply.class, 2000)
                                        .handle((reply, e) -> e != null)
                                        .join());
        NettyPeerNetwork restarted =
                new NettyPeerNetwork(
                        new PeerSettings("127.0.0.1", mInfoB.peerPort(), new byte[] {'s'}, 1),
                        () -> mInfoB,
                        Ticker.system(),
                        new SplittableRandom(3));
        try {
            await().ignoreExceptions().until(() -> restarted.start() > 0);
            restarted.onRequest(
                    ProgramOp.class,
                    op -> CompletableFuture.completedFuture(new ProgramOpReply("again")));
            await().ignoreExceptions()
                    .until(
                            () ->
                                    mA.request(mInfoB, OP, ProgramOpReply.class, 2000)
                                            .join()
                                            .json()
                                            .equals("again"));
        } finally {
            restarted.close();
        }
    }

    /** Guards against bodies of several parts that arrive incomplete or reordered. */
    @Test
    void sendsLargeBodiesInParts() throws Exception {
        byte[] body = new byte[3 * Link.MAX_PART_BYTES + 17];
        new SplittableRandom(1).nextBytes(body);
        mB.onCall(
                (start, stream) -> {
                    assertThat(start.bodyComplete()).isFalse();
                    stream.send(new CallHead(200, Map.of()));
                    stream.send(new CallChunk(start.body()));
                    stream.onMessage(
                            m -> {
                                CallBody part = (CallBody) m;
                                stream.send(new CallChunk(part.bytes()));
                                if (part.last()) {
                                    stream.send(new CallEnd("none"));
                                }
                            });
                });
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        CompletableFuture<Void> end = new CompletableFuture<>();
        mA.openCall(
                mInfoB,
                new CallStart("{}", body, true),
                m -> {
                    if (m instanceof CallChunk c) {
                        got.writeBytes(c.bytes());
                    } else if (m instanceof CallEnd) {
                        end.complete(null);
                    }
                },
                end::completeExceptionally);
        end.get(20, TimeUnit.SECONDS);
        assertThat(Arrays.equals(got.toByteArray(), body)).isTrue();
    }

    /** Guards against malformed bytes of unauthenticated peers that affect existing links. */
    @Test
    void survivesMalformedFrames() throws Exception {
        SplittableRandom random = new SplittableRandom(4711);
        for (int i = 0; i < 30; i++) {
            byte[] bytes = new byte[random.nextInt(1, 300)];
            random.nextBytes(bytes);
            if (i % 3 == 0 && bytes.length > 8) {
                Arrays.fill(bytes, 0, 3, (byte) 0);
                bytes[3] = (byte) (bytes.length - 4);
            }
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mInfoB.peerPort())) {
                socket.getOutputStream().write(bytes);
            }
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mInfoB.peerPort())) {
            socket.getOutputStream().write(new byte[] {0x7f, 0, 0, 0, 1, 2, 3});
            InputStream in = socket.getInputStream();
            assertThat(in.read()).isEqualTo(-1);
        }
        assertThat(mA.request(mInfoB, OP, ProgramOpReply.class, 5000).join().json())
                .as("seed 4711")
                .isEqualTo("p");
    }

    /**
     * Guards against an unbounded wait for a peer that accepts the connection, but never answers.
     */
    @Test
    void reportsUnresponsivePeerAsNotSent() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            DaemonInfo to = info("x", 1, unresponsive.getLocalPort());
            assertThat(failure(mA, to, 500).notSent()).isTrue();
        }
    }

    /** Guards against incompatibility with fields and messages of an adjacent version. */
    @Test
    void ignoresUnknownFieldsAndMessageTypes() throws Exception {
        var mapper = new MessagePackMapper();
        byte[] bytes =
                mapper.writeValueAsBytes(
                        Map.of(
                                "k",
                                "req",
                                "id",
                                1,
                                "new",
                                "x",
                                "m",
                                Map.of("t", "config", "revision", 7, "newer", 1)));
        Frame frame = Frame.decode(bytes);
        assertThat(((PeerMessage.ConfigPush) frame.m()).revision()).isEqualTo(7);
        byte[] unknown =
                mapper.writeValueAsBytes(Map.of("k", "req", "id", 1, "m", Map.of("t", "new")));
        assertThat(Frame.decode(unknown).m()).isNull();
    }
}
