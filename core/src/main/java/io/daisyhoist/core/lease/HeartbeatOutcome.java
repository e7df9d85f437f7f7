package io.daisyhoist.core.lease;

/** A witness's response to a heartbeat. */
public enum HeartbeatOutcome {
    /** The witness promises not to fence the session for one ttl. */
    ACKNOWLEDGED,
    /** The witness has fenced the session and never acknowledges it again. */
    FENCED,
    /** The session is not a member's present session in the record that the witness knows. */
    NOT_A_WITNESS
}
