package io.daisyhoist.testkit.link;

/** How a relay treats the traffic of one direction. */
public enum LinkMode {
    /** Passes traffic on at once. */
    PASS,
    /** Passes traffic on after a delay. */
    DELAY,
    /** Holds traffic back without closing connections; passes it on when the mode changes. */
    STALL,
    /** Closes the connections and refuses new ones. A cut in one direction cuts both. */
    CUT
}
