Feature: The whole path through three entry hosts
  Every entry host serves every caller and operator.

  Background:
    Given a site with 3 entry hosts and its profiles in force

  Scenario: A request goes in at any entry host and comes back whole
    When a request for "planner-api" goes in at each entry host
    Then each caller has the whole answer to its own request

  Scenario: A job is accepted at one entry host and its result read at another
    When a job for "dish-desk" is submitted at entry host 1
    Then within 10 seconds entry host 2 shows the job done with its result
    And the job ran once

  Scenario: A change of the profiles is in force at every entry host
    When an operator sets the deadline of "sky-lookup" to 900 ms at entry host 3
    Then within 1 second revision 2 is in force at every entry host

  Scenario: A wave reboots every host of a pool within the budget
    When an operator declares maintenance of pool "ops-console" at entry host 2
    Then within 60 seconds every host of "ops-console" has rebooted once
    And no more than 2 hosts of "ops-console" were ever unavailable at once
    And the wave is done

  Scenario: An entry host crashes and its pools are led again
    When the leader of "planner-api" crashes
    Then within 5 seconds another entry host leads "planner-api" under a higher term
