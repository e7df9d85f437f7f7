/** Daemons and their backend servers: registrations, heartbeats and the latest known state. */
package io.daisyhoist.core.fleet;
