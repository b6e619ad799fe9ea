package org.heathercourse.testing.hosted;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.log.LogLevel;
import org.heathercourse.log.LogSetup;

/**
 * Starts two gateways and simulated targets and sends requests of each route type.
 *
 * <p>Demonstrates the hosted platform. The build runs it with gateways as processes of their own,
 * which record the classes for the class data archive.
 */
public final class HostedDemo {
    private static final long READY_TIMEOUT_MILLIS = 15_000;
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final int HTTP_OK = 200;
    private static final int ROUNDS = 40;
    private static final int GATEWAYS = 2;

    private static final int TURNS_PER_PROGRAM = 4;

    private HostedDemo() {}

    /**
     * Runs the demonstration.
     *
     * @param gatewayCommand program and arguments that start a gateway process; if empty, the
     *     gateways run in this process
     * @param out receives a line for each request
     * @return whether all requests succeeded
     * @throws IOException if a gateway cannot be reached
     * @throws InterruptedException if the thread is interrupted
     */
    public static boolean run(List<String> gatewayCommand, PrintStream out)
            throws IOException, InterruptedException {
        LogSetup.configureQueued(LogLevel.WARN);
        OkHttpClient client = new OkHttpClient.Builder().callTimeout(5, TimeUnit.SECONDS).build();
        try (HostedDeployment deployment = new HostedDeployment()) {
            deployment.retainHistories();
            for (int i = 0; i < GATEWAYS; i++) {
                addGateway(deployment, "vm-" + i, gatewayCommand);
            }
            for (int i = 0; i < GATEWAYS; i++) {
                if (!awaitReady(client, deployment.settings(i))) {
                    out.println(
                            "gateway " + i + " is not ready after " + READY_TIMEOUT_MILLIS + " ms");
                    return false;
                }
            }
            return sendRequests(client, deployment, out);
        } finally {
            client.dispatcher().executorService().shutdown();
            client.connectionPool().evictAll();
        }
    }

    private static void addGateway(
            HostedDeployment deployment, String vm, List<String> gatewayCommand) {
        if (gatewayCommand.isEmpty()) {
            deployment.addGateway(vm);
        } else {
            deployment.addGatewayProcess(vm, gatewayCommand);
        }
    }

    private static boolean awaitReady(OkHttpClient client, Settings settings)
            throws InterruptedException {
        String url = "http://" + settings.text(Setting.READINESS_ADDRESS) + "/api/readiness";
        for (long waitedMillis = 0;
                waitedMillis < READY_TIMEOUT_MILLIS;
                waitedMillis += POLL_INTERVAL_MILLIS) {
            try (Response answer =
                    client.newCall(new Request.Builder().url(url).build()).execute()) {
                if (answer.code() == HTTP_OK) {
                    return true;
                }
            } catch (IOException e) {
                // The port may not be open yet; the loop retries.
                Thread.onSpinWait();
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return false;
    }

    private static boolean sendRequests(
            OkHttpClient client, HostedDeployment deployment, PrintStream out) throws IOException {
        boolean allSucceeded = true;
        for (int i = 0; i < ROUNDS; i++) {
            Settings settings = deployment.settings(i % GATEWAYS);
            for (String path :
                    List.of("/stream/turn", "/kept/stream", "/read/notice", "/order/yarn")) {
                allSucceeded &= sendRequest(client, settings, path, i, out) == HTTP_OK;
            }
        }
        String metrics =
                "http://" + deployment.settings(0).text(Setting.METRICS_ADDRESS) + "/metrics";
        try (Response answer =
                client.newCall(new Request.Builder().url(metrics).build()).execute()) {
            allSucceeded &= answer.code() == HTTP_OK;
        }
        return allSucceeded;
    }

    private static String requestId(int number, String path) {
        return "r" + number + path.replace('/', '-');
    }

    private static int sendRequest(
            OkHttpClient client, Settings settings, String path, int number, PrintStream out)
            throws IOException {
        Request.Builder request =
                new Request.Builder()
                        .url("http://" + settings.text(Setting.CALLER_ADDRESS) + path)
                        .header("Host", HostedDeployment.HOST)
                        .header("Api-Key", HostedDeployment.KEY)
                        .header("X-Heathercourse-Request-Id", requestId(number, path))
                        .header("X-Heathercourse-Request-Deadline", "3000");
        boolean isKept = path.startsWith("/kept/");
        if (isKept && number % TURNS_PER_PROGRAM > 0) {
            request.header("X-Heathercourse-Previous-Turn", requestId(number - 1, path));
        }
        if (isKept || path.startsWith("/stream/")) {
            request.header("X-Heathercourse-Program-Id", "program-" + number / TURNS_PER_PROGRAM)
                    .header("X-Heathercourse-Token-Budget", "1000")
                    .header("X-Heathercourse-Token-Usage", "100,50");
        }
        if (!path.startsWith("/read/")) {
            request.post(RequestBody.create("{}", MediaType.get("application/json")));
        }
        try (Response answer = client.newCall(request.build()).execute()) {
            String body = answer.body().string();
            out.println(path + " " + answer.code() + " " + body.length() + " bytes");
            return answer.code();
        }
    }
}
