/** HTTP clients for the platform's key-value store and for a daemon's admin port. */
package io.daisyhoist.cli.client;
