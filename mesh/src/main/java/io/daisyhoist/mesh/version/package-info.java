/** State with the lifetime of a configuration or membership version. */
package io.daisyhoist.mesh.version;
