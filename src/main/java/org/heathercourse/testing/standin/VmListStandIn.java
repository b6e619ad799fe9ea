package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import org.heathercourse.core.time.Ticker;

/**
 * The list of VMs. It shows the state of some time ago and can list a VM again that is gone. {@code
 * PUT /vms} sets a VM ({@code state} is live, leaving or gone). Safe for use by several threads.
 */
final class VmListStandIn implements HttpPort.Handler {
    private final Ticker mTicker;
    private final FaultSwitches mFaults;
    private final long mLagMillis;
    private final Deque<Version> mVersions = new ArrayDeque<>();
    private final Map<String, Vm> mRetired = new TreeMap<>();
    private final Map<String, Vm> mRelisted = new TreeMap<>();

    /** A VM of the list. */
    private record Vm(String vm, long incarnation, String zone, String state) {}

    /** The truth from a point in time on. */
    private record Version(long sinceMillis, Map<String, Vm> vms) {}

    VmListStandIn(Ticker ticker, FaultSwitches faults, long lagMillis) {
        mTicker = ticker;
        mFaults = faults;
        mLagMillis = lagMillis;
        mVersions.add(new Version(Long.MIN_VALUE / 2, Map.of()));
    }

    @Override
    public void handle(Exchange exchange) {
        if (exchange.path().equals("/vms")) {
            exchange.reply(200, list());
        } else {
            exchange.error(404, "no such path: " + exchange.path(), true);
        }
    }

    /** Sets the state of a VM: live, leaving or gone. */
    synchronized void set(String vm, long incarnation, String zone, String state) {
        Map<String, Vm> vms = new TreeMap<>(mVersions.getLast().vms());
        Vm entry = new Vm(vm, incarnation, zone, state);
        if (state.equals("gone")) {
            Vm last = vms.remove(vm);
            mRetired.put(vm, last == null ? entry : last);
        } else {
            vms.put(vm, entry);
            mRelisted.remove(vm);
        }
        mVersions.add(new Version(mTicker.readMillis(), vms));
    }

    /** Lists a VM that is gone again, with the incarnation that it had. */
    synchronized void relist(String vm) {
        Vm retired = mRetired.get(vm);
        if (retired == null) {
            throw new IllegalArgumentException("VM " + vm + " was never retired");
        }
        mRelisted.put(vm, new Vm(vm, retired.incarnation(), retired.zone(), "live"));
    }

    private synchronized ObjectNode list() {
        long lagMillis = (long) mFaults.peek(Fault.LAG_MS).orElse(mLagMillis);
        long seenAtMillis = mTicker.readMillis() - lagMillis;
        Map<String, Vm> seen = Map.of();
        Iterator<Version> versions = mVersions.iterator();
        while (versions.hasNext()) {
            Version version = versions.next();
            if (version.sinceMillis() > seenAtMillis) {
                break;
            }
            seen = version.vms();
        }
        Map<String, Vm> shown = new TreeMap<>(mRelisted);
        shown.putAll(seen);
        ObjectNode result = Exchange.JSON.createObjectNode();
        ArrayNode list = result.putArray("vms");
        for (Vm vm : shown.values()) {
            list.addObject()
                    .put("vm", vm.vm())
                    .put("incarnation", vm.incarnation())
                    .put("zone", vm.zone())
                    .put("state", vm.state());
        }
        return result;
    }
}
