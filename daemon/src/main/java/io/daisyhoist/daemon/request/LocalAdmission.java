package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupSnapshot;

/**
 * Whether this daemon may run requests at all. Stateless; confined to the traffic event loop.
 *
 * <p>An isolated daemon may not know that its zone was taken out; its lease ends within seconds, so a valid lease is
 * required for requests without a key as well.
 */
final class LocalAdmission {
    private final TrafficContext traffic;
    private final BooleanSupplier draining;

    LocalAdmission(TrafficContext traffic, BooleanSupplier draining) {
        this.traffic = traffic;
        this.draining = draining;
    }

    /** Returns why no request that needs ownership may run now. */
    Optional<Refusal> refuseKeyed(GroupSnapshot group) {
        if (traffic.routing().get().config().isOut(traffic.zone())) {
            return refuse(RefusalCode.ZONE_OUT, "availability zone " + traffic.zone() + " is out");
        }
        if (!group.lease().isValid(traffic.time())) {
            return refuse(RefusalCode.LEASE_LAPSED, "this daemon holds no valid lease");
        }
        return Optional.empty();
    }

    /** Returns why no request without a key may run now. */
    Optional<Refusal> refuseKeyless(GroupSnapshot group) {
        if (draining.getAsBoolean()) {
            return refuse(RefusalCode.DRAINING, "this daemon is leaving");
        }
        return refuseKeyed(group);
    }

    /**
     * Returns whether a request that was admitted under a grant may still run under it. While the partition is handed
     * over, admitted requests may end; the grant changes only after the last one.
     */
    boolean holds(Grant grant, GroupSnapshot group) {
        return group.lease().isValid(traffic.time())
                && group.session().equals(Optional.of(grant.owner()))
                && group.record().grant(grant.partition()).equals(Optional.of(grant));
    }

    private static Optional<Refusal> refuse(RefusalCode code, String message) {
        return Optional.of(Refusal.of(code, message, Duration.ZERO));
    }
}
