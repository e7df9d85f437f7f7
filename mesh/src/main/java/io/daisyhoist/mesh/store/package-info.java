/** Interfaces to the platform's key-value store and to the operator documents in it. */
package io.daisyhoist.mesh.store;
