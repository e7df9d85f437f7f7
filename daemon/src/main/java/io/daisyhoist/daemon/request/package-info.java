/** Request handling: the client-facing HTTP server, routing to the owner of a key, and processing by the owner. */
package io.daisyhoist.daemon.request;
