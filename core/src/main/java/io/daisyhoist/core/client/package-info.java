/** Decisions about connections of clients that the operators do not control. */
package io.daisyhoist.core.client;
