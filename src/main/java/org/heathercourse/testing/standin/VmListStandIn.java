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
 * An HTTP list of VMs that lags behind the actual state and can list a removed VM again. {@code PUT
 * /vms} at the control port sets a VM, whose {@code state} is live, leaving or gone. Thread-safe.
 */
final class VmListStandIn implements HttpPort.Handler {
    private final Ticker mTicker;
    private final FaultSwitches mFaults;
    private final long mLagMillis;
    private final Deque<Snapshot> mSnapshots = new ArrayDeque<>();
    private final Map<String, Vm> mRetired = new TreeMap<>();
    private final Map<String, Vm> mRelisted = new TreeMap<>();

    /** An entry of the list. */
    private record Vm(String vm, long incarnation, String zone, String state) {}

    /** The actual state of all VMs from a point in time on. */
    private record Snapshot(long validFromMillis, Map<String, Vm> vms) {}

    VmListStandIn(Ticker ticker, FaultSwitches faults, long lagMillis) {
        mTicker = ticker;
        mFaults = faults;
        mLagMillis = lagMillis;
        mSnapshots.add(new Snapshot(Long.MIN_VALUE / 2, Map.of()));
    }

    @Override
    public void handle(Exchange exchange) {
        if (exchange.path().equals("/vms")) {
            exchange.reply(200, list());
        } else {
            exchange.error(404, "no such path: " + exchange.path(), true);
        }
    }

    /** Sets the state of a VM to live or leaving, or removes it with gone. */
    synchronized void set(String vm, long incarnation, String zone, String state) {
        Map<String, Vm> vms = new TreeMap<>(mSnapshots.getLast().vms());
        Vm entry = new Vm(vm, incarnation, zone, state);
        if (state.equals("gone")) {
            Vm last = vms.remove(vm);
            mRetired.put(vm, last == null ? entry : last);
        } else {
            vms.put(vm, entry);
            mRelisted.remove(vm);
        }
        mSnapshots.add(new Snapshot(mTicker.readMillis(), vms));
    }

    /** Lists a removed VM again as live, with its last incarnation. */
    synchronized void relist(String vm) {
        Vm retired = mRetired.get(vm);
        if (retired == null) {
            throw new IllegalArgumentException(
                    "VM " + vm + " was never removed, set its state to gone first");
        }
        mRelisted.put(vm, new Vm(vm, retired.incarnation(), retired.zone(), "live"));
    }

    private synchronized ObjectNode list() {
        long lagMillis = (long) mFaults.peek(Fault.LAG_MS).orElse(mLagMillis);
        long visibleUntilMillis = mTicker.readMillis() - lagMillis;
        Map<String, Vm> visible = Map.of();
        Iterator<Snapshot> snapshots = mSnapshots.iterator();
        while (snapshots.hasNext()) {
            Snapshot snapshot = snapshots.next();
            if (snapshot.validFromMillis() > visibleUntilMillis) {
                break;
            }
            visible = snapshot.vms();
        }
        Map<String, Vm> listed = new TreeMap<>(mRelisted);
        listed.putAll(visible);
        ObjectNode result = Exchange.JSON.createObjectNode();
        ArrayNode list = result.putArray("vms");
        for (Vm vm : listed.values()) {
            list.addObject()
                    .put("vm", vm.vm())
                    .put("incarnation", vm.incarnation())
                    .put("zone", vm.zone())
                    .put("state", vm.state());
        }
        return result;
    }
}
