/** State with the lifetime of the process: settings, control state, startup and shutdown. */
package io.daisyhoist.mesh.process;
