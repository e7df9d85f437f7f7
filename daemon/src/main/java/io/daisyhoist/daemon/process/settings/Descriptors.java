package io.daisyhoist.daemon.process.settings;

import java.lang.management.ManagementFactory;

import com.sun.management.UnixOperatingSystemMXBean;

/** Descriptors of this process. Stateless. */
final class Descriptors {
    private Descriptors() {}

    /** Returns how many files and connections the process may have open. */
    static int max() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? (int) Math.min(Integer.MAX_VALUE, system.getMaxFileDescriptorCount())
                : Integer.MAX_VALUE;
    }
}
