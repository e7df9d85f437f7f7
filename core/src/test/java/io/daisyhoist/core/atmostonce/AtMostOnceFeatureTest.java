package io.daisyhoist.core.atmostonce;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Runs the scenarios of {@code at_most_once.feature} with the steps in {@link AtMostOnceSteps}.
 *
 * <p>Calls Cucumber's command-line runner, because Surefire reported no tests for Cucumber's JUnit engine and passed a
 * failing scenario.
 */
class AtMostOnceFeatureTest {
    @Test
    void scenarios_allPass() {
        byte exitStatus = Main.run(
                "--glue",
                "io.daisyhoist.core.atmostonce",
                "--plugin",
                "progress",
                "--monochrome",
                "classpath:io/daisyhoist/core/atmostonce/at_most_once.feature");
        assertEquals(0, exitStatus);
    }
}
