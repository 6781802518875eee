Feature: Workers that fail, fall silent or leave
  A failed attempt is sent again only where that can't run anything twice.

  Background:
    Given three entry hosts under a steady load on one pool

  @promise-whole-answer @failure-bad-worker
  Scenario: A quarter of the pool fails everything
    When 2 workers of the loaded pool fail every request
    And the load goes on for 10 seconds
    Then the load was sent at most 1.1 times as often as it was asked for
    And at least 95 percent of the last 5 seconds were answered well

  @promise-whole-answer @failure-silent-connection
  Scenario: Idempotent requests leave a silent worker
    When a worker of the loaded pool falls silent
    And the load goes on for 10 seconds
    Then at least 95 percent of the last 5 seconds were answered well

  @promise-at-most-once @promise-not-run @failure-silent-connection
  Scenario: Non-idempotent requests on a silent worker are run once and told as unknown
    When a worker of the loaded pool falls silent
    And the load goes on non-idempotent for 10 seconds
    Then no request of the load ran twice
    And no request of the load that ran was told as not run
    And some requests of the load were told as unknown

  @promise-leaving @failure-store-down
  Scenario: A worker says that it leaves while the store is down
    When the loaded site loses the store
    And a worker of the loaded pool says that it leaves
    And the load goes on for 10 seconds
    Then the leaving worker started nothing after 2 seconds
    And at least 99 percent of the last 5 seconds were answered well

  @promise-leaving
  Scenario: The host list says that a worker leaves
    When the host list marks a worker of the loaded pool as leaving
    And the load goes on for 10 seconds
    Then the leaving worker started nothing after 2 seconds
