package io.daisyhoist.core.config;

/** Whether an availability zone may receive new requests. */
public enum ZoneState {
    IN,
    OUT
}
