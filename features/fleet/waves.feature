Feature: Maintenance waves under failures
  A wave may use the whole budget of each pool but never exceeds it.

  Background:
    Given a fleet of 3 entry hosts with its history recorded

  @promise-budget @promise-one-pool @failure-two-operators @failure-crash @failure-race
  Scenario: Overlapping waves of two operators continue after a leader crash
    When two operators declare overlapping waves over "planner-api" at once
    And the fleet leader of "planner-api" crashes during the drains
    Then within 60 seconds both waves are done
    And every host of "planner-api" has rebooted exactly once
    And the recorded fleet history is sound

  @promise-budget @failure-lost-answer
  Scenario: A wave finishes although the store loses answers
    When the store loses 30 percent of the answers to writes
    And a fleet wave over "dish-desk" is declared
    Then within 120 seconds the fleet wave is done
    And every host of "dish-desk" has rebooted exactly once
    And the recorded fleet history is sound

  @promise-budget @failure-store-down
  Scenario: A wave halts while the store is down and then continues
    When a fleet wave over "dish-desk" is declared
    And the store is down for 30 seconds after the first drains
    Then within 90 seconds the fleet wave is done
    And every host of "dish-desk" has rebooted exactly once
    And the recorded fleet history is sound

  # Guards against a wave that is done at once because its host was listed too
  # recently to have been assigned to a pool.
  @promise-budget @failure-race
  Scenario: A wave over a host that was just added waits for its maintenance
    When a host is added to "dish-desk" and a fleet wave over it is declared once it is listed
    Then within 60 seconds the fleet wave is done
    And the added host has rebooted exactly once

  # Guards against a wave that never ends because a host of it has left.
  Scenario: A wave is done without a host that has left
    When a host is added to "dish-desk" and a fleet wave over it is declared once it is listed
    And the added host disappears from the host list
    Then within 60 seconds the fleet wave is done

  @promise-budget @failure-correlated-wave
  Scenario: A wave whose hosts do not return from a reboot pauses until an operator resumes it
    When two hosts of "sky-lookup" never return from a reboot
    And a fleet wave over "sky-lookup" is declared
    Then within 1000 seconds the fleet wave is paused and names both hosts
    And no further host of "sky-lookup" is drained
    When the two hosts are repaired and the fleet wave is resumed
    Then within 120 seconds the fleet wave is done
    And the recorded fleet history is sound

  @promise-budget @failure-correlated-wave
  Scenario: A failure during drains returns a drained host to service
    Given every host of "ops-console" is busy with a long task
    When a fleet wave over "ops-console" is declared
    And a host of "ops-console" that isn't drained fails
    Then within 10 seconds one drained host of "ops-console" is back in service
    And the recorded fleet history is sound

  @promise-long-work
  Scenario: An urgent wave checkpoints long work, a normal wave waits for it
    Given every host of "ops-console" is busy with a long task
    When a fleet wave over "ops-console" is declared
    Then after 20 seconds no host of "ops-console" has rebooted
    And the fleet wave explains what consumes the budget of "ops-console"
    When an urgent fleet wave over "ops-console" is declared
    Then within 120 seconds the fleet wave is done

  Scenario: A cancelled wave returns its draining hosts to service
    Given every host of "ops-console" is busy with a long task
    When a fleet wave over "ops-console" is declared
    And the fleet wave is cancelled after its first drains
    Then within 3 seconds no host of "ops-console" is unavailable

  Scenario: Hosts are drained rack by rack where the budget allows it
    When a fleet wave over "sky-lookup" is declared
    Then within 60 seconds the fleet wave is done
    And the drains of "sky-lookup" finished one rack before the next

  Scenario: The maintenance rotation takes one host at a time out of service
    When the maintenance interval of "sky-lookup" becomes 60 seconds
    Then within 120 seconds every host of "sky-lookup" has been maintained
    And never more than 1 host of "sky-lookup" was in rotation at once
    And the recorded fleet history is sound

  Scenario: A plan states the expected duration and its lower bound
    When a fleet wave over "sky-lookup" is planned
    Then the fleet plan covers 8 hosts and its lower bound is 480 seconds
    And no wave has been declared

  Scenario: Many overlapping waves share reboots and old wave records are deleted
    When 60 fleet waves over host "sky-lookup-1" are declared at once
    Then within 60 seconds at most 50 wave records are left, all done
    And host "sky-lookup-1" rebooted at most 2 times
    And after one more wave the record of host "sky-lookup-1" lists only that wave as completed
