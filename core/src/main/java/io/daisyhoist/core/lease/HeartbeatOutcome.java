package io.daisyhoist.core.lease;

/** Response of a witness to a heartbeat. */
public enum HeartbeatOutcome {
    /** The witness promises not to fence the session for one TTL. */
    ACKNOWLEDGED,
    /** The witness has fenced the session and never acknowledges it again. */
    FENCED,
    /** The session is not the current session of a member in the group record known to the witness. */
    NOT_A_WITNESS
}
