/** HTTP calls to the platform's store and to a daemon's admin port. */
package io.daisyhoist.cli.client;
