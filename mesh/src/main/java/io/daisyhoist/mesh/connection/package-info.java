/** What lives as long as a connection: the client of the backend server beside the daemon, calls to other daemons. */
package io.daisyhoist.mesh.connection;
