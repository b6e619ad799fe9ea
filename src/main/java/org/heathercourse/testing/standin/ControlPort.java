package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.ExecutorService;

/**
 * The HTTP interface that reads statistics, effects and arrivals, and sets faults, VMs and proxies.
 * Thread-safe.
 */
final class ControlPort implements HttpPort.Handler {
    private final StandIns mStandIns;
    private final ExecutorService mExecutor;

    ControlPort(StandIns standIns, ExecutorService executor) {
        mStandIns = standIns;
        mExecutor = executor;
    }

    /** Handles the request off the event loop, because opening and closing sockets blocks. */
    @Override
    public void handle(Exchange exchange) {
        mExecutor.execute(
                () -> {
                    try {
                        route(exchange);
                    } catch (IOException | IllegalArgumentException e) {
                        exchange.error(400, "bad request: " + e.getMessage(), true);
                    } catch (RuntimeException e) {
                        exchange.error(500, "stand-in failed: " + e, false);
                    }
                });
    }

    private void route(Exchange exchange) throws IOException {
        ObjectNode done = Exchange.JSON.createObjectNode().put("done", true);
        String path = exchange.path();
        if (path.startsWith("/proxies/") && exchange.method().equals("POST")) {
            mStandIns.setProxy(path.substring("/proxies/".length()), exchange.json());
            exchange.reply(200, done);
            return;
        }
        switch (exchange.method() + " " + path) {
            case "GET /stats" -> exchange.reply(200, mStandIns.stats());
            case "GET /effects" -> exchange.reply(200, mStandIns.effects());
            case "GET /arrivals" ->
                    exchange.reply(200, mStandIns.arrivals(exchange.longQuery("since", 0)));
            case "POST /faults" -> {
                setFault(exchange.json());
                exchange.reply(200, done);
            }
            case "DELETE /faults" -> {
                mStandIns.clearFaults(exchange.query("part"));
                exchange.reply(200, done);
            }
            case "PUT /vms" -> {
                JsonNode vm = exchange.json();
                mStandIns.setVm(
                        vm.path("vm").asText(),
                        vm.path("incarnation").asLong(1),
                        vm.path("zone").asText(),
                        vm.path("state").asText("live"));
                exchange.reply(200, done);
            }
            case "POST /vms/relist" -> {
                mStandIns.relistVm(exchange.json().path("vm").asText());
                exchange.reply(200, done);
            }
            case "GET /proxies" -> exchange.reply(200, mStandIns.proxies());
            default -> exchange.error(404, "no such path: " + path, true);
        }
    }

    private void setFault(JsonNode fault) {
        mStandIns.setFault(
                fault.path("part").asText(),
                Fault.of(fault.path("fault").asText()),
                fault.path("value").asDouble(0),
                fault.path("count").asLong(0));
    }
}
