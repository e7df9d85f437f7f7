package io.daisyhoist.mesh.process;

import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.store.MetadataStore;

/**
 * What a loop on the control thread needs to call the store and to report the results. Immutable.
 *
 * @param store metadata store
 * @param control control thread
 * @param time clock
 * @param callbacks runs the callbacks to which results are reported
 */
record StoreAccess(MetadataStore store, ControlExecutor control, TimeSource time, CallbackRunner callbacks) {}
