package io.daisyhoist.core.atmostonce;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.daisyhoist.core.admission.ManualTime;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Step definitions on an {@link AttemptLedger}; a run that is refused before the write is not counted. */
public class AtMostOnceSteps {
    private static final PartitionId PARTITION = new PartitionId(new ServiceName("crew-dispatch"), 3);

    private final ManualTime time = new ManualTime();
    private AttemptLedger ledger;
    private AttemptToken token;
    private AttemptDecision lastDecision;
    private int runs;

    @Given("an owner of the partition at epoch {long}")
    public void createOwner(long epoch) {
        ledger = ledgerAt(epoch);
    }

    private AttemptLedger ledgerAt(long epoch) {
        return new AttemptLedger(PARTITION, epoch, LedgerLimits.DEFAULT, time);
    }

    @Given("a client with a token from this owner")
    public void issueToken() {
        token = ledger.issue(new SplittableRandom(1));
    }

    @When("the client sends the request")
    public void sendRequest() {
        lastDecision = ledger.begin(token);
        runs += lastDecision instanceof AttemptDecision.Run ? 1 : 0;
    }

    @When("the backend server answers {string}")
    public void answerFromBackend(String body) {
        ledger.recordResponse(token, new RecordedResponse(200, List.of(), body.getBytes(StandardCharsets.UTF_8)));
    }

    @When("the connection to the backend server is lost")
    public void loseBackendConnection() {
        ledger.recordUnknownOutcome(token);
    }

    @When("the request is refused before it is written")
    public void refuseBeforeWrite() {
        ledger.removeNotRun(token);
        runs--;
    }

    @When("the partition moves to another owner at epoch {long}")
    public void movePartition(long epoch) {
        LedgerExport export = ledger.exportAndSeal(epoch);
        ledger = ledgerAt(epoch);
        ledger.importRecords(export);
    }

    @When("the owner fails and another daemon takes over at epoch {long}")
    public void failOverTo(long epoch) {
        ledger = ledgerAt(epoch);
    }

    @When("{int} minutes pass")
    public void advanceMinutes(int minutes) {
        time.advance(Duration.ofMinutes(minutes));
    }

    @Then("the request ran {int} time(s)")
    public void assertRuns(int expected) {
        assertEquals(expected, runs);
    }

    @Then("the client received {string}")
    public void assertResponse(String body) {
        AttemptDecision.Replay replay = assertInstanceOf(AttemptDecision.Replay.class, lastDecision);
        assertEquals(body, new String(replay.response().body(), StandardCharsets.UTF_8));
    }

    @Then("the client waits for the run")
    public void assertWaiting() {
        assertInstanceOf(AttemptDecision.Join.class, lastDecision);
    }

    @Then("the outcome is unknown")
    public void assertOutcomeUnknown() {
        assertInstanceOf(AttemptDecision.OutcomeUnknown.class, lastDecision);
    }
}
