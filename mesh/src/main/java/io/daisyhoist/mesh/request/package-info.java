/** State with the lifetime of a request: its path from the client to a backend server and back. */
package io.daisyhoist.mesh.request;
