Feature: Host states and moves
  The state of a host follows from the host list, its worker's own reports and
  probes.

  Background:
    Given a fleet of 3 entry hosts with its history recorded

  @promise-leaving
  Scenario Outline: A leaving host is marked within seconds, whichever source reports it first
    When host "sky-lookup-3" leaves, announced by source <source>
    Then within 2 seconds every entry host sees "sky-lookup-3" as "leaving"

    # word: the worker reports that it is leaving; list: the host list says so
    Examples:
      | source |
      | word   |
      | list   |

  Scenario: A host that fails its probes is marked as failed and becomes active again
    When host "sky-lookup-3" crashes
    Then within 6 seconds every entry host sees "sky-lookup-3" as "failed"
    When host "sky-lookup-3" answers again
    Then within 6 seconds every entry host sees "sky-lookup-3" as "active"
    And the recorded fleet history is sound

  Scenario: A flapping host stays out of service for longer
    When host "sky-lookup-3" crashes and answers again 3 times
    And host "sky-lookup-3" crashes for 6 seconds and answers again
    Then after 30 seconds every entry host sees "sky-lookup-3" as "failed"
    And within 60 seconds every entry host sees "sky-lookup-3" as "active"

  @failure-partition
  Scenario: An empty host list removes no host
    When the host list is empty for 60 seconds
    Then no host of the fleet is unavailable
    And every entry host still sees 40 hosts

  @failure-partition
  Scenario: A leader that cannot reach any worker marks none as failed
    When every host of "sky-lookup" is unreachable for 20 seconds
    Then no host of "sky-lookup" is unavailable

  Scenario: A host disappears from the list and is listed again at another address
    When host "sky-lookup-3" disappears from the host list
    Then within 10 seconds the ledger of "sky-lookup" has "sky-lookup-3" as "missing"
    When host "sky-lookup-3" is listed at another address
    Then within 10 seconds every entry host sees "sky-lookup-3" as "active"
    And every entry host knows the new address of "sky-lookup-3"

  @promise-one-pool @promise-budget
  Scenario: A lasting failure moves exactly one spare host into the pool
    When host "sky-lookup-3" crashes
    Then within 1000 seconds "sky-lookup" has 9 hosts and "backoffice" has 7
    And 1 move was made and explained
    And the recorded fleet history is sound

  @promise-one-pool
  Scenario: A short failure moves no host
    When host "sky-lookup-3" crashes
    And 300 seconds pass for the fleet
    And host "sky-lookup-3" answers again
    And 700 seconds pass for the fleet
    Then 0 moves were made and explained

  Scenario: Every entry host explains why a host has not been drained yet
    When a fleet wave over "sky-lookup" is declared
    Then every entry host explains why "sky-lookup-8" has not been drained yet
