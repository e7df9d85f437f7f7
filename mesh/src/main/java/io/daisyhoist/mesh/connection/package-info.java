/** State with the lifetime of a connection: the HTTP client of the local backend server, and the codec of peer calls. */
package io.daisyhoist.mesh.connection;
