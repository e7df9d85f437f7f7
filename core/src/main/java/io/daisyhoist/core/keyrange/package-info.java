/** Exclusive ownership of key ranges: the assignment table, fenced grants to backend servers, moves. */
package io.daisyhoist.core.keyrange;
