package io.daisyhoist.core.admission;

/** Order in which waiting requests are served. Implementations are pure and thread-safe. */
public interface AdmissionOrder {
    /** Returns whether a request is served before another one that arrived earlier. */
    boolean precedes(RequestCost later, RequestCost earlier, long nowNanos);

    /**
     * Returns how often each kind of request is served at least, as a part of how often all are served; zero for no bound.
     * While a kind is served less often, its requests go before others that are not nested.
     */
    default double minShareOfKind() {
        return 0;
    }
}
