package io.daisyhoist.core.membership;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.model.ServiceName;

/** Which members may receive partitions. Stateless. */
public final class OwnerRules {
    private OwnerRules() {}

    /** Returns whether a member may receive partitions of a service. */
    public static boolean mayReceive(Member member, ServiceName service, EffectiveConfig config) {
        return member.service().equals(service)
                && member.state() == MemberState.ACTIVE
                && !config.isOut(member.zone())
                && member.witnesses().size() >= GroupRecord.MIN_MEMBERS;
    }
}
