package org.heathercourse.features;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.heathercourse.ops.v1.AddKeyRequest;
import org.heathercourse.ops.v1.AddKeyResponse;
import org.heathercourse.ops.v1.WithdrawKeyRequest;
import org.heathercourse.testing.deployment.LocalDeployment;

/** Steps for requests that daemons refuse. */
public class RefusalSteps {
    private static final int MAX_BODY_BYTES = 8_388_608;
    private static final String WORKSPACE = "loom-hall";

    private final LocalDeployment mDeployment = SharedDeployment.get();
    private final HttpCaller mCaller = new HttpCaller(mDeployment.callerUrls().get(0));
    private final String mKey = mDeployment.key(WORKSPACE);
    private final String mProgram = HttpCaller.newProgram();
    private long mExpectedArrivals;
    private HttpCaller.Reply mReply;

    @When("the caller sends broken JSON")
    public void brokenJson() throws IOException {
        mReply = chat("{\"model\":\"planner-large\",", mKey);
    }

    @When("the caller sends a body that is no object")
    public void bodyThatIsNoObject() throws IOException {
        mReply = chat("[1,2]", mKey);
    }

    @When("the caller sends a program with a negative budget")
    public void negativeBudget() throws IOException {
        mReply = mCaller.send("POST", "/v1/programs", mKey, "{\"budget_tokens\":-5}");
    }

    @When("the caller sends an identity of a wrong form")
    public void wrongIdentity() throws IOException {
        mReply = chat(body(), mKey, "Idempotency-Key", "not an identity!");
    }

    @When("the caller sends an oversized body")
    public void oversizedBody() throws IOException {
        mReply = chat("x".repeat(MAX_BODY_BYTES + 1), mKey);
    }

    @When("the caller sends a call of an unknown service")
    public void unknownService() throws IOException {
        mReply = mCaller.send("GET", "/v1/services/bakery/bread", mKey, null);
    }

    @When("the caller sends a call of an unknown model")
    public void unknownModel() throws IOException {
        mReply = chat(body().replace("planner-large", "planner-huge"), mKey);
    }

    @When("the caller sends a call without a key")
    public void withoutKey() throws IOException {
        mReply = chat(body(), null);
    }

    @When("the caller sends a call with a wrong key")
    public void wrongKey() throws IOException {
        mReply = chat(body(), mKey.substring(0, mKey.length() - 2) + "zz");
    }

    @When("the caller sends a call with a withdrawn key")
    public void withdrawnKey() {
        AddKeyRequest add =
                AddKeyRequest.newBuilder()
                        .setWorkspace(WORKSPACE)
                        .setChangeId(UUID.randomUUID().toString())
                        .build();
        AddKeyResponse added = mDeployment.operator().call(stub -> stub.addKey(add));
        WithdrawKeyRequest withdraw =
                WithdrawKeyRequest.newBuilder()
                        .setWorkspace(WORKSPACE)
                        .setKeyId(added.getKeyId())
                        .setChangeId(UUID.randomUUID().toString())
                        .build();
        mDeployment.operator().call(stub -> stub.withdrawKey(withdraw));
        await().atMost(20, TimeUnit.SECONDS)
                .until(
                        () -> {
                            HttpCaller.Reply models =
                                    mCaller.send("GET", "/v1/models", added.getKey(), null);
                            return models.body().contains("key_withdrawn");
                        });
        mReply = await().until(() -> chat(body(), added.getKey()), reply -> reply != null);
    }

    @When("the caller sends a read of an unknown program")
    public void unknownProgram() throws IOException {
        mReply = mCaller.send("GET", "/v1/programs/" + mProgram, mKey, null);
    }

    @When("the caller sends a resume of an unknown request")
    public void unknownRequest() throws IOException {
        start(mKey);
        mReply = mCaller.send("GET", "/v1/programs/" + mProgram + "/requests/r-1", mKey, null);
    }

    @When("the caller sends a call in a program of another workspace")
    public void programOfAnotherWorkspace() throws IOException {
        start(mDeployment.key("harbour-mill"));
        mReply = chat(body(), mKey, "X-Program-Id", mProgram);
    }

    @When("the caller sends another body under a used identity")
    public void anotherBody() throws IOException {
        String body = "{\"item\":1}";
        String[] headers = {"X-Program-Id", mProgram, "Idempotency-Key", "order-1"};
        start(mKey);
        assertThat(order(body, headers).status()).isEqualTo(200);
        mExpectedArrivals = 1;
        mReply = order("{\"item\":2}", headers);
    }

    @When("the caller sends another history than the recorded one")
    public void anotherHistory() throws IOException {
        start(mKey);
        assertThat(chat(body(), mKey, "X-Program-Id", mProgram).status()).isEqualTo(200);
        mExpectedArrivals = 1;
        mReply =
                chat(
                        body().replace("plan a warp", "another beginning"),
                        mKey,
                        "X-Program-Id",
                        mProgram);
    }

    @Then("it is refused with status {int} and kind {string}, as not run")
    public void refused(int status, String kind) throws IOException {
        assertThat(mReply.error().path("kind").asText()).as(mReply.body()).isEqualTo(kind);
        assertThat(mReply.status()).isEqualTo(status);
        assertThat(mReply.error().path("message").asText()).isNotBlank();
        assertThat(mReply.error().path("remedy").asText()).isNotBlank();
        assertThat(mReply.error().path("not_run").isBoolean()).isTrue();
        assertThat(mReply.error().path("not_run").asBoolean()).isTrue();
    }

    @Then("no target has seen it")
    public void noTargetHasSeenIt() throws IOException {
        assertThat(ProgramSteps.arrivalCount(mProgram, "/")).isEqualTo(mExpectedArrivals);
    }

    // ---- requests ----

    private String body() {
        return HttpCaller.chat(mProgram, 0, 3, false);
    }

    private void start(String key) throws IOException {
        String body = "{\"program\":\"" + mProgram + "\",\"budget_tokens\":10000}";
        assertThat(mCaller.send("POST", "/v1/programs", key, body).status()).isEqualTo(201);
    }

    private HttpCaller.Reply chat(String body, String key, String... headers) throws IOException {
        return mCaller.send("POST", HttpCaller.CHAT, key, body, headers);
    }

    private HttpCaller.Reply order(String body, String... headers) throws IOException {
        return mCaller.send("POST", "/v1/services/works/orders", mKey, body, headers);
    }
}
