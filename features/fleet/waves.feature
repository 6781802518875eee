Feature: Maintenance waves under failures
  A wave uses the whole budget of each pool and never more.

  Background:
    Given a fleet of 3 entry hosts with its history recorded

  @promise-budget @promise-one-pool @failure-two-operators @failure-crash @failure-race
  Scenario: Overlapping waves of two operators go on after a leader's crash
    When two operators declare overlapping waves over "planner-api" at once
    And the fleet leader of "planner-api" crashes during the drains
    Then within 60 seconds both waves are done
    And every host of "planner-api" has rebooted exactly once
    And the recorded fleet history is sound

  @promise-budget @failure-lost-answer
  Scenario: A wave ends although the store loses answers
    When the store loses 30 percent of the answers to writes
    And a fleet wave over "dish-desk" is declared
    Then within 120 seconds the fleet wave is done
    And every host of "dish-desk" has rebooted exactly once
    And the recorded fleet history is sound

  @promise-budget @failure-store-down
  Scenario: A wave stands still while the store is down and then goes on
    When a fleet wave over "dish-desk" is declared
    And the store is down for 30 seconds after the first drains
    Then within 90 seconds the fleet wave is done
    And every host of "dish-desk" has rebooted exactly once
    And the recorded fleet history is sound

  @promise-budget @failure-correlated-wave
  Scenario: A wave whose hosts don't return pauses until an operator resumes it
    When two hosts of "sky-lookup" never return from a reboot
    And a fleet wave over "sky-lookup" is declared
    Then within 1000 seconds the fleet wave is paused and names both hosts
    And no further host of "sky-lookup" is drained
    When the two hosts are repaired and the fleet wave is resumed
    Then within 120 seconds the fleet wave is done
    And the recorded fleet history is sound

  @promise-budget @failure-correlated-wave
  Scenario: Failures during a drain bring drained hosts back
    Given every host of "ops-console" is busy with a long task
    When a fleet wave over "ops-console" is declared
    And a host of "ops-console" that isn't drained fails
    Then within 10 seconds one drained host of "ops-console" is back in service
    And the recorded fleet history is sound

  @promise-long-work
  Scenario: An urgent wave checkpoints long work, another waits for it
    Given every host of "ops-console" is busy with a long task
    When a fleet wave over "ops-console" is declared
    Then after 20 seconds no host of "ops-console" has rebooted
    And the fleet wave explains what consumes the budget of "ops-console"
    When an urgent fleet wave over "ops-console" is declared
    Then within 120 seconds the fleet wave is done

  Scenario: A cancelled wave returns the hosts that it drains
    Given every host of "ops-console" is busy with a long task
    When a fleet wave over "ops-console" is declared
    And the fleet wave is cancelled after its first drains
    Then within 3 seconds no host of "ops-console" is unavailable

  Scenario: One rack at a time is taken where the budget allows it
    When a fleet wave over "sky-lookup" is declared
    Then within 60 seconds the fleet wave is done
    And the drains of "sky-lookup" finished one rack before the next

  Scenario: The planned rotation takes one host at a time
    When the maintenance interval of "sky-lookup" becomes 60 seconds
    Then within 120 seconds every host of "sky-lookup" has been maintained
    And never more than 1 host of "sky-lookup" was in rotation at once
    And the recorded fleet history is sound

  Scenario: A plan states the expected roll-out next to the lower bound
    When a fleet wave over "sky-lookup" is planned
    Then the fleet plan covers 8 hosts and its lower bound is 480 seconds
    And no wave has been declared

  Scenario: Many overlapping waves share reboots and are forgotten in the end
    When 60 fleet waves over host "sky-lookup-1" are declared at once
    Then within 60 seconds at most 50 wave records are left, all done
    And host "sky-lookup-1" rebooted at most 2 times
    And host "sky-lookup-1" remembers no more waves than are open
