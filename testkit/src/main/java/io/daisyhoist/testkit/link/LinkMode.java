package io.daisyhoist.testkit.link;

/** How a proxy handles the traffic of one direction. */
public enum LinkMode {
    /** Forwards traffic immediately. */
    PASS,
    /** Forwards traffic after a delay. */
    DELAY,
    /** Buffers traffic without closing connections; forwards it when the mode changes. */
    STALL,
    /** Closes the connections and rejects new ones. A cut of one direction affects both. */
    CUT
}
