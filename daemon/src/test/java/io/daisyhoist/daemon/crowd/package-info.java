/** Tests of a daemon process against clients that stay outside the limits, shared by both modes. */
package io.daisyhoist.daemon.crowd;
