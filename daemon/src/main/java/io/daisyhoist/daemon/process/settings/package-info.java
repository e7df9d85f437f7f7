/** Settings of one daemon process, read once at its start. */
package io.daisyhoist.daemon.process.settings;
