package io.daisyhoist.core.config;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** Thrown for an invalid configuration or settings file; lists the faults found. */
public class InvalidConfigException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    /** Largest number of faults listed individually, so that a damaged file of 1 MB does not flood the terminal. */
    public static final int MAX_FAULTS = 100;

    private final transient List<ConfigFault> faults;

    /** Keeps the first {@link #MAX_FAULTS} faults and, if there are more, adds one with the number of the others. */
    public InvalidConfigException(List<ConfigFault> faults) {
        super(ErrorCode.INVALID_CONFIGURATION, joinFaults(limitFaults(faults)));
        this.faults = limitFaults(faults);
    }

    /** Returns the faults. */
    public List<ConfigFault> faults() {
        return faults;
    }

    private static List<ConfigFault> limitFaults(List<ConfigFault> faults) {
        if (faults.size() <= MAX_FAULTS) {
            return List.copyOf(faults);
        }
        ConfigFault rest = new ConfigFault(
                faults.get(MAX_FAULTS).file(), "", (faults.size() - MAX_FAULTS) + " further faults are not listed");
        return Stream.concat(faults.stream().limit(MAX_FAULTS), Stream.of(rest)).toList();
    }

    private static String joinFaults(List<ConfigFault> faults) {
        return faults.stream().map(ConfigFault::toString).collect(Collectors.joining("\n"));
    }
}
