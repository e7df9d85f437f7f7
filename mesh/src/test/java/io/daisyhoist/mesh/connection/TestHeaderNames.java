package io.daisyhoist.mesh.connection;

import java.util.OptionalDouble;

/** Header names for tests, different from those of any platform. */
public final class TestHeaderNames {
    public static final HeaderNames NAMES = new HeaderNames(
            "Id",
            "Deadline",
            "Expected",
            "Actual",
            "Caller",
            "Key",
            "Signature",
            "Not-Run",
            "Load",
            value -> OptionalDouble.empty(),
            "Customer-Key",
            "Customer");

    private TestHeaderNames() {}
}
