/** Quotas of customers over all daemons: lenders, loans and the local decision. */
package io.daisyhoist.core.quota;
