package io.daisyhoist.core.memory;

/** What memory is held for. */
public enum MemoryUse {
    /** Heads of requests that are incomplete or wait for their body. */
    REQUEST_HEAD,
    /** Bodies of requests. */
    REQUEST_BODY,
    /** Responses that have not been written completely, for example because their receiver reads slowly. */
    RESPONSE,
    /** Messages of other daemons. */
    PEER_MESSAGE
}
