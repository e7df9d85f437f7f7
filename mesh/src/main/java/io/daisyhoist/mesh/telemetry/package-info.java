/** Logs and metrics. */
package io.daisyhoist.mesh.telemetry;
