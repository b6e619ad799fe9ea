package org.heathercourse.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.security.KeyStore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Tests the admin port and the loading of TLS files. */
class AdminServerTest {
    /** Guards against wrong health, readiness or metrics output. */
    @Test
    void servesHealthReadinessAndMetrics() throws Exception {
        MetricRegistry metrics = new MetricRegistry();
        metrics.meter("calls.started").mark(3);
        metrics.timer("call").update(2, TimeUnit.SECONDS);
        metrics.timer("call{service=\"weave\"}").update(3, TimeUnit.SECONDS);
        AtomicBoolean ready = new AtomicBoolean();
        try (AdminServer server = new AdminServer("127.0.0.1", 0, metrics, ready::get)) {
            int port = server.start();
            assertThat(get(port, "/healthz").statusCode()).isEqualTo(200);
            assertThat(get(port, "/readyz").statusCode()).isEqualTo(503);
            ready.set(true);
            assertThat(get(port, "/readyz").statusCode()).isEqualTo(200);
            assertThat(get(port, "/metrics").body())
                    .contains("calls_started_total 3\n")
                    .containsOnlyOnce("# TYPE call_seconds summary\n")
                    .contains("call_seconds{service=\"weave\",quantile=\"0.5\"} 3.0\n")
                    .contains("call_seconds_count{service=\"weave\"} 1\n")
                    .contains("call_seconds{quantile=\"0.5\"} 2.0\n");
        }
    }

    private static HttpResponse<String> get(int port, String path) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build();
        return HttpClient.newHttpClient().send(request, BodyHandlers.ofString());
    }

    /** Guards against accepting TLS files that cannot be used. */
    @Test
    void loadsKeyStoreFromPemFiles() throws Exception {
        String certificate = "src/test/resources/tls/test-cert.pem";
        KeyStore store = PemKeys.load(certificate, "src/test/resources/tls/test-key.pem");
        assertThat(store.getKey("caller", new char[0])).isNotNull();
        assertThat(store.getCertificateChain("caller")).hasSize(1);
        assertThatThrownBy(() -> PemKeys.load(certificate, certificate))
                .hasMessageContaining("cannot be used");
    }
}
