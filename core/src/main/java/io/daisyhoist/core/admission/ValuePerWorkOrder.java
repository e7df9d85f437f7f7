package io.daisyhoist.core.admission;

/**
 * Serves nested calls first, then the more urgent priority; among equals the request whose response has the highest value for
 * each unit of work. A response that can only be late has less value than one in time. Stateless.
 */
public final class ValuePerWorkOrder implements AdmissionOrder {
    /** Value of a response between the latency target and the deadline. */
    private static final double LATE_VALUE = 0.3;

    /** A kind is to be served at least a quarter as often as all; the margin covers the delay of the correction. */
    private static final double MIN_SHARE = 0.3;

    @Override
    public boolean precedes(RequestCost later, RequestCost earlier, long nowNanos) {
        if (later.nested() != earlier.nested()) {
            return later.nested();
        }
        if (later.priority() != earlier.priority()) {
            return later.priority() < earlier.priority();
        }
        return valuePerNano(later, nowNanos) > valuePerNano(earlier, nowNanos);
    }

    private static double valuePerNano(RequestCost request, long nowNanos) {
        double value = request.targetSlackNanos(nowNanos) >= 0 ? 1 : LATE_VALUE;
        return value / Math.max(1, request.work().plannedNanos());
    }

    @Override
    public double minShareOfKind() {
        return MIN_SHARE;
    }
}
