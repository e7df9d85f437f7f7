/** What lives until the next version of the configuration or of the membership. */
package io.daisyhoist.mesh.version;
