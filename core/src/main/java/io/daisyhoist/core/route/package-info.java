/** Configuration of a fleet: routes by host and path prefix, service policies and client limits. */
package io.daisyhoist.core.route;
