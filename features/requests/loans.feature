@promise-budget
Feature: Loans of slots that never overlap
  However leaders and messages fail, the loans in force together fit a worker's slots.

  Background:
    Given 5 entry hosts that lend each other the slots of a site

  @failure-crash @failure-lapsed-lease
  Scenario: The leader crashes in a burst
    When "dish-desk" is in a burst and its leader crashes
    Then loans never overlapped on a worker
    And a later leader has lent slots of "dish-desk"
    And every request of the burst was told its outcome exactly

  @failure-partition
  Scenario: Messages to the leader are lost one way for a while
    When "dish-desk" is in a burst and answers from its leader are lost to one entry host
    Then loans never overlapped on a worker
    And every request of the burst was told its outcome exactly

  @failure-store-down
  Scenario: The store is away
    When "dish-desk" is in a burst while no entry host reaches the store
    Then loans never overlapped on a worker
    And every entry host has a loan of "dish-desk" throughout
    And every request of the burst was told its outcome exactly

  @failure-store-down @failure-partition @failure-lapsed-lease
  Scenario: Only the leader loses the store
    When "dish-desk" is in a burst and only its leader loses the store
    Then loans never overlapped on a worker
    And a later leader has lent slots of "dish-desk"

  Scenario: Any history of reports keeps a ledger within its slots
    When 50 random histories of reports, losses and reservations reach a ledger
    Then no ledger ever lent more than its slots

  Scenario: The check of loans notices a planted overlap
    When a history has two loans that exceed a worker's slots together
    Then the check of loans reports that worker
