/** Metrics and tracing of the daemon. */
package io.daisyhoist.daemon.telemetry;
