package org.heathercourse.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.Pauses;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests the planned stop of a daemon process under steady load. */
class PlannedStopTest {
    private static final int CALLERS = 8;
    private static final long LOAD_BEFORE_MILLIS = 3_000;
    private static final long EXIT_TIMEOUT_SECONDS = 60;
    private static final String CUT = "cut";

    private final Queue<String> mOutcomes = new ConcurrentLinkedQueue<>();
    private final OkHttpClient mHttp =
            new OkHttpClient.Builder()
                    .readTimeout(20, TimeUnit.SECONDS)
                    .retryOnConnectionFailure(false)
                    .build();

    /** Guards against requests that are started late in a planned stop and cut off by the exit. */
    @Tag("known-red")
    @Test
    void cutsNoRequestUnderSteadyLoad() throws InterruptedException {
        LocalDeployment.Builder options = LocalDeployment.builder().daemons(2).engines(1);
        options.daemonFlags(List.of("--drain-timeout-seconds", "4"));
        try (LocalDeployment deployment = options.build().start()) {
            DaemonProcess daemon = deployment.daemons().get(0);
            Request request =
                    new Request.Builder()
                            .url(daemon.callerUrl() + "/v1/services/works/sleep?ms=1500")
                            .header("Authorization", "Bearer " + deployment.key("loom-hall"))
                            .header("X-Deadline-Ms", "3000")
                            .post(RequestBody.create("{}", MediaType.get("application/json")))
                            .build();
            List<Thread> callers =
                    Stream.generate(() -> new Thread(() -> sendUntilExit(request, daemon)))
                            .limit(CALLERS)
                            .toList();
            callers.forEach(Thread::start);
            Pauses.pause(LOAD_BEFORE_MILLIS);
            daemon.process().terminate();
            assertThat(daemon.process().awaitExit(EXIT_TIMEOUT_SECONDS)).isTrue();
            for (Thread caller : callers) {
                caller.join();
            }
        }
        assertThat(mOutcomes).contains("200").doesNotContain(CUT);
        assertThat(mOutcomes).allMatch(o -> o.matches("200|503.*draining.*\"not_run\":true.*"));
    }

    private void sendUntilExit(Request request, DaemonProcess daemon) {
        while (daemon.process().isAlive()) {
            try (Response response = mHttp.newCall(request).execute()) {
                String body = response.body().string();
                mOutcomes.add(response.code() == 200 ? "200" : response.code() + body);
            } catch (ConnectException e) {
                Pauses.pause(20);
            } catch (IOException e) {
                mOutcomes.add(CUT);
            }
        }
    }
}
