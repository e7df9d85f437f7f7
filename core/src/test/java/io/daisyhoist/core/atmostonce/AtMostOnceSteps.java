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

/** Steps on an {@link AttemptLedger}; a run that is refused before the write does not count. */
public class AtMostOnceSteps {
    private static final PartitionId PARTITION = new PartitionId(new ServiceName("crew-dispatch"), 3);

    private final ManualTime time = new ManualTime();
    private AttemptLedger ledger;
    private AttemptToken token;
    private AttemptDecision last;
    private int runs;

    @Given("an owner of the partition at epoch {long}")
    public void owner(long epoch) {
        ledger = ledgerAt(epoch);
    }

    private AttemptLedger ledgerAt(long epoch) {
        return new AttemptLedger(PARTITION, epoch, LedgerLimits.DEFAULT, time);
    }

    @Given("a client with a token from this owner")
    public void token() {
        token = ledger.issue(new SplittableRandom(1));
    }

    @When("the client sends the request")
    public void send() {
        last = ledger.begin(token);
        runs += last instanceof AttemptDecision.Run ? 1 : 0;
    }

    @When("the backend server answers {string}")
    public void answer(String body) {
        ledger.finished(token, new RecordedResponse(200, List.of(), body.getBytes(StandardCharsets.UTF_8)));
    }

    @When("the connection to the backend server is lost")
    public void lose() {
        ledger.unknown(token);
    }

    @When("the request is refused before it is written")
    public void refuse() {
        ledger.notRun(token);
        runs--;
    }

    @When("the partition moves to another owner at epoch {long}")
    public void move(long epoch) {
        LedgerExport export = ledger.exportAndSeal(epoch);
        ledger = ledgerAt(epoch);
        ledger.importAll(export);
    }

    @When("the owner is lost and another one follows at epoch {long}")
    public void failOver(long epoch) {
        ledger = ledgerAt(epoch);
    }

    @When("{int} minutes pass")
    public void pass(int minutes) {
        time.advance(Duration.ofMinutes(minutes));
    }

    @Then("it ran {int} time(s)")
    public void ran(int expected) {
        assertEquals(expected, runs);
    }

    @Then("the client got {string}")
    public void got(String body) {
        AttemptDecision.Replay replay = assertInstanceOf(AttemptDecision.Replay.class, last);
        assertEquals(body, new String(replay.response().body(), StandardCharsets.UTF_8));
    }

    @Then("the client waits for the run")
    public void waits() {
        assertInstanceOf(AttemptDecision.Join.class, last);
    }

    @Then("the outcome is unknown")
    public void outcomeUnknown() {
        assertInstanceOf(AttemptDecision.OutcomeUnknown.class, last);
    }
}
