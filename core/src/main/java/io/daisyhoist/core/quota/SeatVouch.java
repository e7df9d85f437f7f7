package io.daisyhoist.core.quota;

/** What a daemon knows about the loans from a seat that another one has become the holder of. */
public enum SeatVouch {
    /** The daemon was the only holder, and nothing that it has lent counts any more. */
    UNUSED,
    /** The daemon has just been started for the first time and has lent nothing. */
    NEW,
    /** There may be loans that count. */
    UNKNOWN
}
