Feature: Errors that no caller handles
  Each is reported once, and costs only the call or the message in which it occurs.

  # Guards against a periodic task whose error ends the process.
  Scenario: A periodic task that fails is called again
    Given a periodic task that throws in its first call and rejects in its second
    Then after 5 intervals it has been called 6 times with 2 reported errors

  Scenario: An actor that fails on a message handles the next one
    Given an actor that fails on the first of 3 messages
    Then it has handled 2 messages with 1 reported error

  # Guards against a leader that fails for good and keeps its pool.
  Scenario: An actor that fails again and again is given up
    Given an actor that fails on each of 12 messages
    Then it has handled 0 messages with 12 reported errors
    And its failing has been reported 2 times
