/** Metrics and spans of the daemon. */
package io.daisyhoist.daemon.telemetry;
