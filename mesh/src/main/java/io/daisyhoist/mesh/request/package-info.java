/** What lives for one request: its way from the client to a backend server and back. */
package io.daisyhoist.mesh.request;
