Feature: A non-repeatable request runs at most once
  A dispatch that runs twice sends two vans; one that is wrongly called "not run" is sent again.

  Background:
    Given an owner of the partition at epoch 5
    And a client with a token from this owner

  Scenario: A resend after a lost response gets the recorded response
    When the client sends the request
    And the backend server answers "booked"
    And the client sends the request
    Then it ran 1 time
    And the client got "booked"

  Scenario: Two sends at once share one run
    When the client sends the request
    And the client sends the request
    Then it ran 1 time
    And the client waits for the run

  Scenario: The backend server is lost during the run
    When the client sends the request
    And the connection to the backend server is lost
    And the client sends the request
    Then it ran 1 time
    And the outcome is unknown

  Scenario: A refusal before the write leaves nothing behind
    When the client sends the request
    And the request is refused before it is written
    And the client sends the request
    Then it ran 1 time

  Scenario: A planned move hands the records over
    When the client sends the request
    And the backend server answers "booked"
    And the partition moves to another owner at epoch 6
    And the client sends the request
    Then it ran 1 time
    And the client got "booked"

  Scenario: A token that was not used before a planned move may still run
    When the partition moves to another owner at epoch 6
    And the client sends the request
    Then it ran 1 time

  Scenario: The owner is lost without a hand-over
    When the client sends the request
    And the backend server answers "booked"
    And the owner is lost and another one follows at epoch 6
    And the client sends the request
    Then it ran 1 time
    And the outcome is unknown

  Scenario: The record is too old to be known
    When 11 minutes pass
    And the client sends the request
    Then it ran 0 times
    And the outcome is unknown
