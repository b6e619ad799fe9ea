package org.heathercourse.daemon.call;

import java.io.ByteArrayOutputStream;
import javax.inject.Inject;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.daemon.peer.PeerErrors;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerMessage.CallBody;
import org.heathercourse.daemon.peer.PeerMessage.CallStart;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.peer.PeerNetwork.CallStream;

/**
 * Serves calls and program operations that other daemons forward. Safe for use by several threads.
 */
public final class CallAcceptor {
    /** Maximum body size of a forwarded call, in bytes. */
    static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private final CallExecutor mExecutor;
    private final ProgramOps mOps;

    /** Creates an acceptor that serves nothing until {@link #register} is called. */
    @Inject
    public CallAcceptor(CallExecutor executor, ProgramOps ops) {
        mExecutor = executor;
        mOps = ops;
    }

    /**
     * Registers the handlers for calls and program operations.
     *
     * @param network network that receives the forwarded messages
     */
    public void register(PeerNetwork network) {
        network.onCall(this::accept);
        network.onRequest(PeerMessage.ProgramOp.class, mOps::handle);
    }

    private void accept(CallStart start, CallStream stream) {
        CallRequest request = CallRequest.fromJson(start.call());
        byte[] first = start.body() == null ? new byte[0] : start.body();
        if (start.bodyComplete()) {
            run(request, first, stream);
            return;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(first);
        stream.onMessage(
                message -> {
                    if (message instanceof CallBody part) {
                        collect(request, body, part, stream);
                    }
                });
    }

    private void collect(
            CallRequest request, ByteArrayOutputStream body, CallBody part, CallStream stream) {
        if (body.size() + part.bytes().length > MAX_BODY_BYTES) {
            stream.onMessage(message -> {});
            stream.send(
                    PeerErrors.toMessage(
                            new HeathercourseException(
                                    ErrorKind.PAYLOAD_TOO_LARGE,
                                    "the body of the call is larger than "
                                            + MAX_BODY_BYTES
                                            + " bytes",
                                    "send a smaller body")));
            return;
        }
        body.writeBytes(part.bytes());
        if (part.last()) {
            run(request, body.toByteArray(), stream);
        }
    }

    private void run(CallRequest request, byte[] body, CallStream stream) {
        new AnswerPump(mExecutor.submit(request, body), stream).start();
    }
}
