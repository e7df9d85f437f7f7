/** Port to the platform's key-value store and to the documents that operators keep there. */
package io.daisyhoist.mesh.store;
