Feature: A non-repeatable request runs at most once
  Running a dispatch twice sends two vans; a dispatch wrongly reported as "not run" is sent again.

  Background:
    Given an owner of the partition at epoch 5
    And a client with a token from this owner

  Scenario: A resend after a lost response gets the recorded response
    When the client sends the request
    And the backend server answers "booked"
    And the client sends the request
    Then the request ran 1 time
    And the client received "booked"

  Scenario: Concurrent sends share one run
    When the client sends the request
    And the client sends the request
    Then the request ran 1 time
    And the client waits for the run

  Scenario: The backend server is lost during the run
    When the client sends the request
    And the connection to the backend server is lost
    And the client sends the request
    Then the request ran 1 time
    And the outcome is unknown

  Scenario: A refusal before the write leaves no record
    When the client sends the request
    And the request is refused before it is written
    And the client sends the request
    Then the request ran 1 time

  Scenario: A planned move transfers the records
    When the client sends the request
    And the backend server answers "booked"
    And the partition moves to another owner at epoch 6
    And the client sends the request
    Then the request ran 1 time
    And the client received "booked"

  Scenario: A token that was unused before a planned move may still run
    When the partition moves to another owner at epoch 6
    And the client sends the request
    Then the request ran 1 time

  Scenario: The owner fails without a hand-over
    When the client sends the request
    And the backend server answers "booked"
    And the owner fails and another daemon takes over at epoch 6
    And the client sends the request
    Then the request ran 1 time
    And the outcome is unknown

  Scenario: The token has expired
    When 11 minutes pass
    And the client sends the request
    Then the request ran 0 times
    And the outcome is unknown
