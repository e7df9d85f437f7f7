package io.daisyhoist.core.membership;

import java.util.List;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;

/**
 * Properties of a member that follow from the daemon's settings. Immutable.
 *
 * @param process current process of the daemon
 * @param peer address for messages between daemons
 * @param http address of the HTTP port for clients
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param service service that the backend server runs
 */
public record MemberProfile(
        ProcessId process, Endpoint peer, Endpoint http, String region, AvailabilityZone zone, ServiceName service) {
    /** Creates an active member without witnesses. */
    public Member newMember(SessionId session) {
        return new Member(session, peer, http, region, zone, service, MemberState.ACTIVE, List.of());
    }
}
