package io.daisyhoist.core.error;

/** Errors reported to operators, with the exit code of the command-line tool. */
public enum ErrorCode {
    INTERNAL(1),
    USAGE(2),
    INVALID_CONFIGURATION(3),
    CONFLICT(4),
    PLATFORM_UNREACHABLE(5),
    OUTCOME_UNKNOWN(6),
    NOT_FOUND(7);

    private final int exitCode;

    ErrorCode(int exitCode) {
        this.exitCode = exitCode;
    }

    /** Returns the exit code of the command-line tool for this error. */
    public int exitCode() {
        return exitCode;
    }
}
