Feature: Workers that fail, stop answering or leave
  A failed attempt is retried only if that cannot run a non-idempotent request twice.

  Background:
    Given three entry hosts with a steady load on one pool

  @promise-whole-answer @failure-bad-worker
  Scenario: A quarter of the workers of a pool fail every request
    When 2 workers of the loaded pool fail every request
    And the load continues for 10 seconds
    Then workers received at most 1.1 attempts per request of the load
    And at least 95 percent of the requests of the last 5 seconds succeeded

  @promise-whole-answer @failure-silent-connection
  Scenario: Idempotent requests are retried on another worker if one stops answering
    When a worker of the loaded pool stops answering
    And the load continues for 10 seconds
    Then at least 95 percent of the requests of the last 5 seconds succeeded

  @promise-at-most-once @promise-not-run @failure-silent-connection
  Scenario: Non-idempotent requests on a worker that stops answering run once and are reported as unknown
    When a worker of the loaded pool stops answering
    And the load continues with non-idempotent requests for 10 seconds
    Then no request of the load ran twice
    And no request of the load that ran was reported as not run
    And some requests of the load were reported as unknown

  @promise-leaving @failure-store-down
  Scenario: A worker announces that it is leaving while the store is unavailable
    When the store of the loaded site becomes unavailable
    And a worker of the loaded pool announces that it is leaving
    And the load continues for 10 seconds
    Then the leaving worker started no request after 2 seconds
    And at least 99 percent of the requests of the last 5 seconds succeeded

  @promise-leaving
  Scenario: The host list marks a worker as leaving
    When the host list marks a worker of the loaded pool as leaving
    And the load continues for 10 seconds
    Then the leaving worker started no request after 2 seconds
