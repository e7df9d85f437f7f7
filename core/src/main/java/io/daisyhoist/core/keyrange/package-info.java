/** Exclusive ownership of key ranges: assignment table, fenced grants to backend servers and moves between them. */
package io.daisyhoist.core.keyrange;
