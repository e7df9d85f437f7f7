package io.daisyhoist.core.membership;

import java.util.List;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;

/**
 * What a daemon's settings say about its member. Immutable.
 *
 * @param process this run of the daemon's process
 * @param peer address for messages between daemons
 * @param http address of the caller-facing HTTP port
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param service service that the backend server runs
 */
public record MemberProfile(
        ProcessId process, Endpoint peer, Endpoint http, String region, AvailabilityZone zone, ServiceName service) {
    /** Returns an active member without witnesses. */
    public Member member(SessionId session) {
        return new Member(session, peer, http, region, zone, service, MemberState.ACTIVE, List.of());
    }
}
