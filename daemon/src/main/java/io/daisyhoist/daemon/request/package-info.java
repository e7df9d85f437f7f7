/** What lives for one request: the HTTP edge, routing to the owner, and the owner's side. */
package io.daisyhoist.daemon.request;
