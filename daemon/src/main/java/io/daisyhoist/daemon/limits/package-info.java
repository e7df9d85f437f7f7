/** Limits on what clients may send, hold and leave unread. */
package io.daisyhoist.daemon.limits;
