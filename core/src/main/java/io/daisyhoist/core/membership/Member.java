package io.daisyhoist.core.membership;

import java.util.List;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;

/**
 * A daemon with its backend server, as listed in the group record. Immutable.
 *
 * @param session current session; an earlier session of the same daemon owns no partitions
 * @param peer address for messages between daemons
 * @param http address of the HTTP port for clients
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param service service that the backend server runs
 * @param state whether the member may be given partitions
 * @param witnesses processes of which a majority renews the session's lease or fences the session
 */
public record Member(
        SessionId session,
        Endpoint peer,
        Endpoint http,
        String region,
        AvailabilityZone zone,
        ServiceName service,
        MemberState state,
        List<ProcessId> witnesses) {
    /** Copies the list. */
    public Member {
        witnesses = List.copyOf(witnesses);
    }

    /** Returns a copy in another state. */
    public Member withState(MemberState newState) {
        return new Member(session, peer, http, region, zone, service, newState, witnesses);
    }

    /** Returns a copy with other witnesses. */
    public Member withWitnesses(List<ProcessId> newWitnesses) {
        return new Member(session, peer, http, region, zone, service, state, newWitnesses);
    }
}
