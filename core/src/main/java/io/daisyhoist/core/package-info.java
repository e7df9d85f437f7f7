/** Decision logic without threads or I/O; reads the time only from an injected clock. */
package io.daisyhoist.core;
