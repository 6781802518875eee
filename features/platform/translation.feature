@real-clock
Feature: An entry host implements the external platform's HTTP protocol
  One folder translates what callers, hosts, machines and the operator exchange
  with an entry host; the stand-in here uses the names of the protocol.

  @promise-long-work
  Scenario: A submission runs on hosts, and its state is reported
    Given the external platform with 4 hosts and an entry host
    When a caller submits "00000000000000a1" with 6 tasks followed by 2 tasks
    Then the answer is 200
    And the state is reported as "completed" within 5 s
    And 0 submissions are reported as waiting
    And every task has run exactly once on the platform's hosts

  @promise-long-work
  Scenario: A cancelled submission stops, and unknown submissions and paths get distinct answers
    Given the external platform with 4 hosts and an entry host
    When a caller submits "00000000000000a2" with lasting tasks
    And the caller cancels "00000000000000a2"
    Then the answer is 200
    And the state is reported as "cancelled" within 3 s
    And all runs on the platform's hosts end within 3 s
    When the caller reads the state of "00000000000000ff"
    Then the answer is 410
    When the caller cancels "00000000000000ff"
    Then the answer is 410
    When the caller submits to a path that belongs to no queue
    Then the answer is 404
    When the caller submits "00000000000000a3" with an invalid body
    Then the answer is 400

  @promise-not-run
  Scenario: No submission is accepted before the first configuration
    Given an entry host and the external platform without a configuration
    When a caller submits "00000000000000a4" with 1 tasks followed by 1 tasks
    Then the answer is 503
    And the answer states when to retry

  @promise-budget
  Scenario: A wave is carried out through the machine API and reported
    Given the external platform with 4 hosts and an entry host
    When the operator declares wave 7 over all machines with a duration of 20 s and at most 2 machines down
    Then wave 7 is reported as "completed" within 15 s

  @promise-long-work
  Scenario: A ticket is requested from the advice service and passed to the host
    Given the external platform with 4 hosts and an entry host
    When a caller submits "00000000000000a5" to the advised queue with 3 tasks
    Then the answer is 200
    And the state is reported as "completed" within 5 s
