/** Decision core: no threads, no I/O, time only through an injected clock. */
package io.daisyhoist.core;
