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
 * @param session present session; an earlier session of the same daemon owns nothing
 * @param peer address for messages between daemons
 * @param http address of the caller-facing HTTP port
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param service service that the backend server runs
 * @param state whether it may be given partitions
 * @param witnesses processes whose majority keeps or ends the session's lease
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
