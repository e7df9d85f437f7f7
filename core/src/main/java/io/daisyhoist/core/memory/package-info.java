/** Accounting of the memory that a daemon holds for requests and responses. */
package io.daisyhoist.core.memory;
