package io.daisyhoist.core.membership;

/** Whether a member may be given partitions. */
public enum MemberState {
    ACTIVE,
    /** Hands its partitions over and receives none. */
    LEAVING
}
