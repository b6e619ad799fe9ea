package org.heathercourse.gateway;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.testing.hosted.Crowd;
import org.heathercourse.testing.hosted.SmallGateway;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Base of the tests in which a crowd of untrusted callers meets one small gateway. */
abstract class UntrustedCallers {
    /** Number of callers in a crowd. */
    static final int CROWD = 80;

    /** Number of bytes that a caller sends in its turn. */
    static final int PIECE_BYTES = 8_192;

    /** Number of header fields of two characters that the limit of 16,384 bytes allows. */
    static final int FIELDS = 3_900;

    /** Number of bytes missing at the end of an unfinished body. */
    static final int MISSING_BYTES = 10;

    @TempDir Path mFolder;
    private SmallGateway mGateway;

    @BeforeEach
    void start() {
        mGateway = new SmallGateway(mFolder, "", virtualMachineOptions());
    }

    /** Returns further options of the virtual machine. */
    String[] virtualMachineOptions() {
        return new String[0];
    }

    @AfterEach
    void stop() {
        mGateway.close();
    }

    SmallGateway gateway() {
        return mGateway;
    }

    /** Sends the same bytes from all callers, and checks the gateway while they stay, and after. */
    void assertHoldsAgainst(Setting port, String bytes, int pieceBytes) throws Exception {
        InetSocketAddress address = mGateway.address(port);
        try (Crowd crowd = new Crowd()) {
            crowd.add(CROWD, address, bytes);
            crowd.send(pieceBytes);
            mGateway.assertHolds(CROWD);
        }
        mGateway.assertHolds(CROWD);
    }

    /** Returns many fields of two characters. */
    static String fields() {
        return "a:\r\n".repeat(FIELDS);
    }
}
