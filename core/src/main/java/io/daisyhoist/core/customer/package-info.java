/** Customers of a fleet, their API keys and their quotas. */
package io.daisyhoist.core.customer;
