@promise-budget
Feature: Loans of slots never exceed the slots of a worker
  The sum of the valid loans of a worker stays within its slots when leaders or messages fail.

  Background:
    Given 5 entry hosts that lend the slots of a site to each other

  @failure-crash @failure-lapsed-lease
  Scenario: The leader crashes during a burst
    When the leader of "dish-desk" crashes during a burst
    Then the loans of a worker never exceeded its slots
    And a later leader lent slots of "dish-desk"
    And the outcome of every request of the burst was known and reported correctly

  @failure-partition
  Scenario: Answers of the leader to one entry host are lost
    When answers of the leader of "dish-desk" to one entry host are lost during a burst
    Then the loans of a worker never exceeded its slots
    And the outcome of every request of the burst was known and reported correctly

  @failure-store-down
  Scenario: The store is unavailable to every entry host
    When no entry host can reach the store during a burst of "dish-desk"
    Then the loans of a worker never exceeded its slots
    And every entry host had a loan of "dish-desk" at all times
    And the outcome of every request of the burst was known and reported correctly

  @failure-store-down @failure-partition @failure-lapsed-lease
  Scenario: Only the leader cannot reach the store
    When only the leader of "dish-desk" cannot reach the store during a burst
    Then the loans of a worker never exceeded its slots
    And a later leader lent slots of "dish-desk"

  Scenario: A ledger stays within its slots for random histories of reports
    When 50 random histories of reports, message losses and reservations are applied to a ledger
    Then no ledger lent more slots than its workers have

  Scenario: The loan checker finds a known overcommitment
    When a history contains two loans that together exceed the slots of a worker
    Then the loan checker reports that worker
