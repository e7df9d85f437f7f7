package io.daisyhoist.core.config;

/** Whether an availability zone may receive new work. */
public enum ZoneState {
    IN,
    OUT
}
