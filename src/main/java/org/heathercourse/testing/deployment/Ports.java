package org.heathercourse.testing.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on loopback. */
final class Ports {
    private Ports() {}

    /**
     * Returns ports that were free a moment ago, all different.
     *
     * @param count how many
     */
    static List<Integer> free(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                ports.add(socket.getLocalPort());
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ports;
    }
}
