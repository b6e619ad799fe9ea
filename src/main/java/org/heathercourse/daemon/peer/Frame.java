package org.heathercourse.daemon.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * A frame of a link: a message, or a control frame for the handshake and pings. Immutable.
 *
 * @param k kind of the frame
 * @param id correlation number of the conversation; 0 in control frames
 * @param m message; null in control frames, and if its type is not known to this version
 * @param nonce nonce of the sender; only in hello and challenge
 * @param mac proof of the shared secret; only in challenge and proof
 * @param vm VM of the sender; only in hello and challenge
 * @param incarnation incarnation of the sender; only in hello and challenge
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
record Frame(
        String k, long id, PeerMessage m, byte[] nonce, byte[] mac, String vm, long incarnation) {
    static final String HELLO = "hello";
    static final String CHALLENGE = "challenge";
    static final String PROOF = "proof";
    static final String READY = "ready";
    static final String PING = "ping";
    static final String REQUEST = "req";
    static final String REPLY = "rep";
    static final String CALL = "call";
    static final String MESSAGE = "msg";

    private static final ObjectMapper MAPPER =
            new MessagePackMapper()
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
                    .configure(DeserializationFeature.FAIL_ON_INVALID_SUBTYPE, false)
                    .configure(SerializationFeature.FAIL_ON_EMPTY_BEANS, false);

    static Frame forMessage(String kind, long id, PeerMessage message) {
        return new Frame(kind, id, message, null, null, null, 0);
    }

    static Frame control(String kind) {
        return forMessage(kind, 0, null);
    }

    /** Returns the frame as MessagePack. */
    byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (IOException e) {
            throw new IllegalStateException("frame " + k + " cannot be encoded", e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param bytes the frame as MessagePack
     * @return the frame
     * @throws IOException if the bytes are not a valid frame
     */
    static Frame decode(byte[] bytes) throws IOException {
        Frame frame = MAPPER.readValue(bytes, Frame.class);
        if (frame == null || frame.k == null) {
            throw new IOException("frame has no kind, expected field k");
        }
        return frame;
    }
}
