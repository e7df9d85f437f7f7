package io.daisyhoist.core.atmostonce;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Runs the scenarios of {@code at_most_once.feature}; their steps are in {@link AtMostOnceSteps}.
 *
 * <p>Cucumber's own runner is called, because Surefire reported no test for its JUnit engine and passed a broken scenario.
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
