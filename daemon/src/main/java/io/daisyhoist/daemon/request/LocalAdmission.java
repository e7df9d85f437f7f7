package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupSnapshot;

/**
 * Checks whether this daemon may currently run requests. Stateless; confined to the traffic event loop.
 *
 * <p>An isolated daemon may not know that its availability zone was taken out. Its lease expires within seconds, so a
 * valid lease is required for requests without a key as well.
 */
final class LocalAdmission {
    private final TrafficContext traffic;
    private final BooleanSupplier draining;

    LocalAdmission(TrafficContext traffic, BooleanSupplier draining) {
        this.traffic = traffic;
        this.draining = draining;
    }

    /** Returns the refusal for requests that require ownership; empty if they may run. */
    Optional<Refusal> keyedRefusal(GroupSnapshot group) {
        if (traffic.routing().get().config().isOut(traffic.zone())) {
            return refusalOf(RefusalCode.ZONE_OUT, "availability zone " + traffic.zone() + " is out");
        }
        if (!group.lease().isValid(traffic.time())) {
            return refusalOf(RefusalCode.LEASE_LAPSED, "this daemon holds no valid lease");
        }
        return Optional.empty();
    }

    /** Returns the refusal for requests without a key; empty if they may run. */
    Optional<Refusal> keylessRefusal(GroupSnapshot group) {
        if (draining.getAsBoolean()) {
            return refusalOf(RefusalCode.DRAINING, "this daemon is leaving");
        }
        return keyedRefusal(group);
    }

    /**
     * Returns whether a request that was admitted under a grant may still run under it. Admitted requests may complete
     * while the partition is handed over, because the grant changes only after the last of them.
     */
    boolean isGrantValid(Grant grant, GroupSnapshot group) {
        return group.lease().isValid(traffic.time())
                && group.session().equals(Optional.of(grant.owner()))
                && group.record().grant(grant.partition()).equals(Optional.of(grant));
    }

    private static Optional<Refusal> refusalOf(RefusalCode code, String message) {
        return Optional.of(Refusal.of(code, message, Duration.ZERO));
    }
}
