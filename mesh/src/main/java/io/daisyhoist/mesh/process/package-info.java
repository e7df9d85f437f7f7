/** What lives as long as the process: settings, control state, start and stop. */
package io.daisyhoist.mesh.process;
