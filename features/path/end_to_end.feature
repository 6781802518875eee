Feature: Requests, jobs and operations through three entry hosts
  Every entry host serves every caller and operator.

  Background:
    Given a site with 3 entry hosts and its profiles applied

  Scenario: A request sent to any entry host gets a complete answer
    When a request for "planner-api" is sent to each entry host
    Then each caller receives the complete answer to its own request

  Scenario: A job is submitted to one entry host and its result is read from another
    When a job for "dish-desk" is submitted to entry host 1
    Then within 10 seconds entry host 2 reports the job as done with its result
    And the job ran once

  Scenario: A change of the profiles becomes active at every entry host
    When an operator sets the deadline of "sky-lookup" to 900 ms through entry host 3
    Then within 1 second revision 2 is active at every entry host

  Scenario: A wave reboots every host of a pool within the budget
    When an operator declares maintenance of pool "ops-console" through entry host 2
    Then within 60 seconds every host of "ops-console" has rebooted once
    And at most 2 hosts of "ops-console" were unavailable at any time
    And the wave is done

  Scenario: Another entry host takes over the pools of a crashed leader
    When the leader of "planner-api" crashes
    Then within 5 seconds another entry host leads "planner-api" with a higher term
