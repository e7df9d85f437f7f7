package io.daisyhoist.core.membership;

/** Whether a member may be given partitions. */
public enum MemberState {
    ACTIVE,
    /** Hands over its partitions and receives none. */
    LEAVING
}
