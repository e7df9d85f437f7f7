/** Simulators of external systems, a load client and checks; used by tests and the demo, not shipped. */
package io.daisyhoist.testkit;
