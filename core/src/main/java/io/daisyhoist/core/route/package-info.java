/** Operators' configuration of a fleet: routes by host and path prefix, rules for services, bounds for clients. */
package io.daisyhoist.core.route;
