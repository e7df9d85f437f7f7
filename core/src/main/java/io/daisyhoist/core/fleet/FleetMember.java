package io.daisyhoist.core.fleet;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;

/**
 * A daemon as it registers itself in the store. Immutable.
 *
 * @param daemon its name
 * @param incarnation number of its process
 * @param availabilityZone where it runs
 * @param peerHost address at which other daemons reach it
 * @param peerPort port at which other daemons reach it
 * @param service service of the backend server beside it
 * @param backend the backend server beside it; empty before its first heartbeat
 */
public record FleetMember(
        DaemonId daemon,
        long incarnation,
        AvailabilityZone availabilityZone,
        String peerHost,
        int peerPort,
        ServiceName service,
        Optional<MemberBackend> backend) {

    /**
     * State of a member's backend server that other daemons need. Immutable.
     *
     * @param id name of its process
     * @param startedMillis Unix time of its start in milliseconds
     * @param slots requests that it runs at once
     * @param accepting whether it takes new work
     */
    public record MemberBackend(String id, long startedMillis, int slots, boolean accepting) {
        /** Returns the process. */
        public BackendLife life() {
            return new BackendLife(id, startedMillis);
        }
    }

    /** Returns the backend server if it takes new work. */
    @JsonIgnore
    public Optional<MemberBackend> acceptingBackend() {
        return backend.filter(MemberBackend::accepting);
    }
}
