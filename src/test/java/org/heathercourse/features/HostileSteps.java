package org.heathercourse.features;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.heathercourse.ops.ctl.OperatorConnection;
import org.heathercourse.ops.v1.GetStatusRequest;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;

/** Steps that send bytes of no valid protocol. */
public class HostileSteps {
    private static final long SEED = 7;

    private final LocalDeployment mDeployment = SharedDeployment.get();
    private final DaemonProcess mDaemon = mDeployment.daemons().get(0);

    @When("{int} connections send garbage to the {word} port")
    public void sendGarbage(int connections, String port) {
        System.out.println("garbage seed=" + SEED);
        Random random = new Random(SEED);
        for (int i = 0; i < connections; i++) {
            byte[] bytes = new byte[1 + random.nextInt(20_000)];
            random.nextBytes(bytes);
            if (i % 4 == 0) {
                // Starts with a valid prefix: a frame length or a request line.
                byte[] start =
                        i % 8 == 0
                                ? new byte[] {0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff}
                                : "POST / HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII);
                System.arraycopy(start, 0, bytes, 0, Math.min(start.length, bytes.length));
            }
            send(port(port), bytes);
        }
    }

    private static void send(int port, byte[] bytes) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(100);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            socket.getInputStream().read();
        } catch (IOException e) {
            // A daemon may close a connection that sends garbage.
            assertThat(e.getMessage()).isNotNull();
        }
    }

    private int port(String name) {
        return switch (name) {
            case "caller" -> mDaemon.endpoints().callerPort();
            case "peer" -> mDaemon.endpoints().peerPort();
            case "operator" -> mDaemon.endpoints().operatorPort();
            default -> throw new IllegalArgumentException(name);
        };
    }

    @Then("the daemon still runs and serves callers, peers and operators")
    public void stillServes() throws IOException {
        assertThat(mDaemon.process().isAlive()).isTrue();
        String key = mDeployment.key("loom-hall");
        // Requests through each daemon reach owners of shards on other daemons, so that the peer
        // connections are used.
        for (String entry : mDeployment.callerUrls()) {
            for (int i = 0; i < 8; i++) {
                String body = "{\"program\":\"" + HttpCaller.newProgram() + "\"}";
                HttpCaller.Reply reply =
                        new HttpCaller(entry).send("POST", "/v1/programs", key, body);
                assertThat(reply.status()).as(reply.body()).isEqualTo(201);
            }
        }
        try (OperatorConnection operator = mDeployment.operatorAt(mDaemon)) {
            assertThat(
                            operator.call(s -> s.getStatus(GetStatusRequest.getDefaultInstance()))
                                    .getDaemonsCount())
                    .isEqualTo(mDeployment.daemons().size());
        }
    }
}
