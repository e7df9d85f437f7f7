package io.daisyhoist.core.membership;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.model.ServiceName;

/** Eligibility of members to own partitions. Stateless. */
public final class OwnerEligibility {
    private OwnerEligibility() {}

    /** Returns whether a member may be given partitions of a service. */
    public static boolean isEligible(Member member, ServiceName service, EffectiveConfig config) {
        return member.service().equals(service)
                && member.state() == MemberState.ACTIVE
                && !config.isOut(member.zone())
                && member.witnesses().size() >= GroupRecord.MIN_MEMBERS;
    }
}
