package org.heathercourse.features;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.Key;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509TrustManager;
import okhttp3.OkHttpClient;
import org.heathercourse.ops.ctl.OperatorConnection;
import org.heathercourse.ops.v1.GetStatusRequest;
import org.heathercourse.testing.deployment.LocalDeployment;

/** Steps for TLS at the caller and operator ports, with a certificate from the JDK's keytool. */
public class TlsSteps {
    private static final String PASSWORD = "for-this-test-only";

    private Path mDirectory;
    private KeyStore mStore;
    private LocalDeployment mDeployment;

    @Given("a certificate that signs itself")
    public void createCertificate() throws Exception {
        mDirectory = Files.createTempDirectory("certificate");
        Path store = mDirectory.resolve("store.p12");
        Process keytool =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                "daemon",
                                "-keyalg",
                                "EC",
                                "-groupname",
                                "secp256r1",
                                "-dname",
                                "CN=127.0.0.1",
                                "-ext",
                                "san=ip:127.0.0.1",
                                "-validity",
                                "2",
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                store.toString(),
                                "-storepass",
                                PASSWORD)
                        .inheritIO()
                        .start();
        assertThat(keytool.waitFor(30, TimeUnit.SECONDS)).isTrue();
        mStore = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(store)) {
            mStore.load(in, PASSWORD.toCharArray());
        }
        Certificate certificate = mStore.getCertificate("daemon");
        Key key = mStore.getKey("daemon", PASSWORD.toCharArray());
        write("certificate.pem", "CERTIFICATE", certificate.getEncoded());
        write("key.pem", "PRIVATE KEY", key.getEncoded());
    }

    private void write(String file, String type, byte[] der) throws IOException {
        String text = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(der);
        Files.writeString(
                mDirectory.resolve(file),
                "-----BEGIN " + type + "-----\n" + text + "\n-----END " + type + "-----\n");
    }

    @Given("a deployment of 1 daemon that uses it")
    public void startDeployment() {
        mDeployment =
                LocalDeployment.builder()
                        .daemons(1)
                        .engines(1)
                        .plain(1)
                        .tls(mDirectory.resolve("certificate.pem"), mDirectory.resolve("key.pem"))
                        .build();
        mDeployment.start();
    }

    private String url(String scheme) {
        return scheme + "://127.0.0.1:" + mDeployment.daemons().get(0).endpoints().callerPort();
    }

    @Then("a caller that trusts it gets an answer")
    public void trustingCallerGetsAnswer() throws Exception {
        KeyStore trusted = KeyStore.getInstance("PKCS12");
        trusted.load(null, null);
        trusted.setCertificateEntry("daemon", mStore.getCertificate("daemon"));
        TrustManagerFactory factory =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, factory.getTrustManagers(), null);
        OkHttpClient http =
                new OkHttpClient.Builder()
                        .sslSocketFactory(
                                context.getSocketFactory(),
                                (X509TrustManager) factory.getTrustManagers()[0])
                        .build();
        HttpCaller.Reply reply =
                new HttpCaller(url("https"), http)
                        .send(
                                "POST",
                                HttpCaller.CHAT,
                                mDeployment.key("loom-hall"),
                                HttpCaller.chat("none", 0, 3, false));
        assertThat(reply.status()).as(reply.body()).isEqualTo(200);
    }

    @Then("a caller that does not trust it gets none")
    public void distrustingCallerGetsError() {
        assertThatThrownBy(() -> new HttpCaller(url("https")).send("GET", "/v1/models", "k", null))
                .isInstanceOf(SSLException.class);
    }

    @Then("a caller without TLS gets none")
    public void callerWithoutTlsGetsError() {
        assertThatThrownBy(() -> new HttpCaller(url("http")).send("GET", "/v1/models", "k", null))
                .isInstanceOf(IOException.class);
    }

    @Then("an operator that trusts it reads the status")
    public void trustingOperatorReadsStatus() {
        assertThat(
                        mDeployment
                                .operator()
                                .call(s -> s.getStatus(GetStatusRequest.getDefaultInstance()))
                                .getVm())
                .isEqualTo("vm-1");
    }

    @Then("an operator without TLS reads none")
    public void operatorWithoutTlsGetsError() throws SSLException {
        int port = mDeployment.daemons().get(0).endpoints().operatorPort();
        try (OperatorConnection plain =
                new OperatorConnection(
                        List.of("127.0.0.1:" + port), mDeployment.operatorToken(), "")) {
            assertThatThrownBy(
                            () ->
                                    plain.call(
                                            s ->
                                                    s.getStatus(
                                                            GetStatusRequest.getDefaultInstance())))
                    .isInstanceOf(StatusRuntimeException.class);
        }
    }

    /** Kills the processes and deletes the key files. */
    @After
    public void stop() throws IOException {
        if (mDeployment != null) {
            mDeployment.close();
        }
        if (mDirectory != null) {
            for (String file : List.of("store.p12", "certificate.pem", "key.pem")) {
                Files.deleteIfExists(mDirectory.resolve(file));
            }
            Files.delete(mDirectory);
        }
    }
}
