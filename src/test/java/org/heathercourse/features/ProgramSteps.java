package org.heathercourse.features;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.List;

/** Steps for a caller that runs a program. */
public class ProgramSteps {
    private final HttpCaller mCaller = new HttpCaller(SharedDeployment.get().callerUrls().get(0));
    private final String mKey = SharedDeployment.get().key("loom-hall");
    private final String mProgram = HttpCaller.newProgram();
    private HttpCaller.Reply mStreamReply;
    private HttpCaller.Reply mFirstOrderReply;
    private HttpCaller.Reply mSecondOrderReply;

    @When("a program is started")
    public void start() throws IOException {
        String body = "{\"program\":\"" + mProgram + "\",\"budget_tokens\":10000}";
        assertThat(mCaller.send("POST", "/v1/programs", mKey, body).status()).isEqualTo(201);
    }

    @When("the caller streams a model call of {int} words in it")
    public void stream(int words) throws IOException {
        mStreamReply =
                mCaller.send(
                        "POST",
                        HttpCaller.CHAT,
                        mKey,
                        HttpCaller.chat(mProgram, 0, words, true),
                        "X-Program-Id",
                        mProgram,
                        "Idempotency-Key",
                        "turn-0");
        assertThat(mStreamReply.status()).isEqualTo(200);
    }

    @Then("the stream has {int} words and ends with its last event")
    public void streamIsComplete(int words) throws IOException {
        StringBuilder text = new StringBuilder();
        List<String> events =
                mStreamReply.body().lines().filter(line -> line.startsWith("data:")).toList();
        for (String event : events.subList(0, events.size() - 1)) {
            JsonNode choice = HttpCaller.JSON.readTree(event.substring(5)).path("choices").path(0);
            text.append(choice.path("delta").path("content").asText(""));
        }
        assertThat(text.toString()).startsWith("[[answer program=" + mProgram + " turn=0 ");
        String filler = text.substring(text.indexOf("]]") + 2).trim();
        assertThat(filler.split("\\s+")).hasSize(words);
        assertThat(events.get(events.size() - 1)).isEqualTo("data: [DONE]");
    }

    @When("the caller places an order in it")
    public void placeOrder() throws IOException {
        mFirstOrderReply = sendOrder();
        assertThat(mFirstOrderReply.status()).isEqualTo(200);
    }

    @When("the same order is sent again")
    public void repeatOrder() throws IOException {
        mSecondOrderReply = sendOrder();
    }

    private HttpCaller.Reply sendOrder() throws IOException {
        return mCaller.send(
                "POST",
                "/v1/services/works/orders",
                mKey,
                "{\"yarn\":\"wool\"}",
                "X-Program-Id",
                mProgram,
                "Idempotency-Key",
                "order-1");
    }

    @Then("both answers are the same and the order took effect once")
    public void orderTookEffectOnce() throws IOException {
        assertThat(mSecondOrderReply).isEqualTo(mFirstOrderReply);
        assertThat(arrivalCount(mProgram, "/orders")).isEqualTo(1);
    }

    @When("the program is ended")
    public void end() throws IOException {
        assertThat(mCaller.send("DELETE", "/v1/programs/" + mProgram, mKey, null).status())
                .isEqualTo(200);
    }

    @Then("a further model call in it is refused with status {int} and kind {string}")
    public void refusedAfterEnd(int status, String kind) throws IOException {
        HttpCaller.Reply reply =
                mCaller.send(
                        "POST",
                        HttpCaller.CHAT,
                        mKey,
                        HttpCaller.chat(mProgram, 1, 3, false),
                        "X-Program-Id",
                        mProgram);
        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.error().path("kind").asText()).isEqualTo(kind);
        assertThat(reply.error().path("not_run").asBoolean()).isTrue();
    }

    /** Returns the number of requests of a program that targets received below a path prefix. */
    static long arrivalCount(String program, String pathPrefix) throws IOException {
        long count = 0;
        JsonNode all = SharedDeployment.get().stats().read("/arrivals?since=0").path("arrivals");
        assertThat(all.isArray()).isTrue();
        for (JsonNode arrival : all) {
            if (arrival.path("program").asText().equals(program)
                    && arrival.path("path").asText().startsWith(pathPrefix)) {
                count++;
            }
        }
        return count;
    }
}
