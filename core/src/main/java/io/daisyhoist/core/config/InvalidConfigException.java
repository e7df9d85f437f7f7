package io.daisyhoist.core.config;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** Configuration or settings that were refused, with every fault found. */
public class InvalidConfigException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    /** Faults that are listed one by one; a damaged file of 1 MB could otherwise fill the terminal. */
    public static final int MAX_FAULTS = 100;

    private final transient List<ConfigFault> faults;

    /** Keeps at most {@link #MAX_FAULTS} faults, followed by one that counts the others. */
    public InvalidConfigException(List<ConfigFault> faults) {
        super(ErrorCode.INVALID_CONFIGURATION, text(bounded(faults)));
        this.faults = bounded(faults);
    }

    /** Returns the faults. */
    public List<ConfigFault> faults() {
        return faults;
    }

    private static List<ConfigFault> bounded(List<ConfigFault> faults) {
        if (faults.size() <= MAX_FAULTS) {
            return List.copyOf(faults);
        }
        ConfigFault rest = new ConfigFault(
                faults.get(MAX_FAULTS).file(), "", (faults.size() - MAX_FAULTS) + " further faults are not listed");
        return Stream.concat(faults.stream().limit(MAX_FAULTS), Stream.of(rest)).toList();
    }

    private static String text(List<ConfigFault> faults) {
        return faults.stream().map(ConfigFault::toString).collect(Collectors.joining("\n"));
    }
}
