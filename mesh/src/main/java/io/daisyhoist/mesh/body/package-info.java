/** Bodies of requests: complete ones, and those of which only the first part is held while the rest is streamed. */
package io.daisyhoist.mesh.body;
