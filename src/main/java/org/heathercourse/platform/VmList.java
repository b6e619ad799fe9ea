package org.heathercourse.platform;

import java.util.List;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;

/**
 * The platform's list of live and leaving VMs. It is eventually consistent: it lags behind the
 * actual state of the VMs.
 *
 * <p>Calls block. Implementations are safe for use by several threads.
 */
public interface VmList {
    /** State of a VM as the platform reports it. */
    enum State {
        LIVE,
        LEAVING
    }

    /**
     * A listed VM.
     *
     * @param vm identity of the VM
     * @param incarnation number that increases each time a VM of this identity is created
     * @param zone zone of the VM
     * @param state state of the VM
     */
    record Entry(VmId vm, long incarnation, Zone zone, State state) {}

    /**
     * Reads the list.
     *
     * @return the listed VMs
     * @throws StoreException if the service does not answer
     */
    List<Entry> list();
}
