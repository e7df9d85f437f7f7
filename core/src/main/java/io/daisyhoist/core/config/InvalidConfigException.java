package io.daisyhoist.core.config;

import java.util.List;
import java.util.stream.Collectors;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** Configuration or settings that were refused, with every fault found. */
public class InvalidConfigException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    private final transient List<ConfigFault> faults;

    public InvalidConfigException(List<ConfigFault> faults) {
        super(
                ErrorCode.INVALID_CONFIGURATION,
                faults.stream().map(ConfigFault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults, ordered by file and key. */
    public List<ConfigFault> faults() {
        return faults;
    }
}
