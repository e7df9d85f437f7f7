/** Quotas of customers: messages between daemons, and the check of each request. */
package io.daisyhoist.mesh.quota;
