/** Connections to other daemons, to the platform's store and to the local backend server. */
package io.daisyhoist.daemon.connection;
