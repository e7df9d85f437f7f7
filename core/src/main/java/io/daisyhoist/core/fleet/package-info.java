/** Backend servers and the daemons beside them: what each says of itself and which statement is the latest. */
package io.daisyhoist.core.fleet;
