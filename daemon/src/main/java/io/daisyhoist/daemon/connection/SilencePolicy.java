package io.daisyhoist.daemon.connection;

/** What happens to a sent call when its peer stops responding, which may be a pause of the peer or a lost connection. */
public enum SilencePolicy {
    /** The call fails, so that the caller can try another peer. */
    FAIL,
    /** The call waits for its reply until its timeout, because it must not be repeated and may still be running. */
    WAIT
}
