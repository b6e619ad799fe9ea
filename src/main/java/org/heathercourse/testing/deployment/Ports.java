package org.heathercourse.testing.deployment;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports on loopback. Thread-safe.
 *
 * <p>The ports are below the ephemeral range. Otherwise an outgoing connection could occupy a port
 * after it was found and before the started process binds it.
 */
final class Ports {
    private static final int FIRST_PORT = 10_240;
    private static final int PORT_COUNT = 20_000;

    private Ports() {}

    /**
     * Returns distinct ports that were free when checked. The search starts at a port that depends
     * on process and thread, so that concurrent deployments rarely find the same ports.
     *
     * @param count number of ports
     * @throws IllegalStateException if there are too few free ports
     */
    static List<Integer> findFree(int count) {
        List<Integer> ports = new ArrayList<>();
        long start = ProcessHandle.current().pid() * 997L + Thread.currentThread().getId() * 89L;
        for (int i = 0; i < PORT_COUNT && ports.size() < count; i++) {
            int port = FIRST_PORT + (int) Math.floorMod(start + i, (long) PORT_COUNT);
            if (isFree(port)) {
                ports.add(port);
            }
        }
        if (ports.size() < count) {
            throw new IllegalStateException(
                    "found " + ports.size() + " free ports on loopback, expected " + count);
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
