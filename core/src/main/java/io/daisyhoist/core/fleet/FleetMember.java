package io.daisyhoist.core.fleet;

import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;

/**
 * Registration of a daemon in the store. Immutable.
 *
 * @param daemon identifier of the daemon
 * @param incarnation incarnation number of its process
 * @param availabilityZone availability zone in which it runs
 * @param peerHost host at which other daemons reach it
 * @param peerPort port at which other daemons reach it
 * @param service service of its backend server
 * @param backend state of its backend server; empty before the first heartbeat
 */
public record FleetMember(
        DaemonId daemon,
        long incarnation,
        AvailabilityZone availabilityZone,
        String peerHost,
        int peerPort,
        ServiceName service,
        Optional<MemberBackend> backend) {
    /** Validates that all fields are present and that the peer address can be connected to. */
    public FleetMember {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(backend, "backend");
        Endpoint.requireValid(peerHost, peerPort);
    }

    /**
     * State of a member's backend server as published to other daemons. Immutable.
     *
     * @param id identifier of its process
     * @param startedMillis start time of the process, in milliseconds since the Unix epoch
     * @param slots number of requests that it runs concurrently
     * @param accepting whether it accepts new requests
     */
    public record MemberBackend(String id, long startedMillis, int slots, boolean accepting) {
        /** Largest number of slots that a backend server can report. */
        public static final int MAX_SLOTS = 100_000;

        /** Validates the identity of the process and the number of slots. */
        public MemberBackend {
            BackendProcessId.requireValid(id, startedMillis);
            if (slots < 1 || slots > MAX_SLOTS) {
                throw new IllegalArgumentException("slots must be 1 to " + MAX_SLOTS + ": " + slots);
            }
        }

        /** Returns the identity of the process. */
        public BackendProcessId process() {
            return new BackendProcessId(id, startedMillis);
        }
    }

    /** Returns the address at which other daemons reach this one. */
    @JsonIgnore
    public Endpoint peerAddress() {
        return new Endpoint(peerHost, peerPort);
    }

    /** Returns the backend server if it accepts new requests. */
    @JsonIgnore
    public Optional<MemberBackend> acceptingBackend() {
        return backend.filter(MemberBackend::accepting);
    }
}
