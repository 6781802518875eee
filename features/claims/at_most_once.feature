Feature: Non-idempotent requests run at most once
  The claim of an idempotency key is stored durably before the request is sent to a worker.

  @promise-at-most-once @failure-race
  Scenario: The same key is sent to every entry host at once
    Given a claims site with 4 entry hosts
    When a non-idempotent request with the same key is sent to every entry host at once
    Then the keyed request ran 1 time
    And every caller that sent the key got the answer of that run
    And the history of keyed requests has no violation

  @promise-at-most-once @failure-crash
  Scenario: The entry host crashes after the run and another one returns the recorded answer
    Given a claims site with 4 entry hosts
    When entry host 1 answers a keyed request and its end is recorded
    And entry host 1 of the claims site crashes
    And the request with the key is sent to entry host 2
    Then the keyed request ran 1 time
    And every caller that sent the key got the answer of that run

  @promise-at-most-once @failure-crash
  Scenario: The entry host crashes during the run and a retry gets an unknown outcome
    Given a claims site with 4 entry hosts
    When entry host 1 crashes while a keyed request is running
    And the request with the key is sent to entry host 2
    Then the keyed request ran 1 time
    And the last answer for the key is "unknown"
    And the history of keyed requests has no violation

  @promise-not-run @promise-at-most-once @failure-store-down
  Scenario: While the store is unavailable, no key is claimed and no keyed request runs
    Given a claims site with 4 entry hosts
    When the store of the claims site becomes unavailable
    And the request with the key is sent to entry host 2
    Then the keyed request ran 0 times
    And the last answer for the key is "not-run"
    When the store of the claims site becomes available again
    And the request with the key is sent to entry host 3
    Then the keyed request ran 1 time
    And the history of keyed requests has no violation

  @promise-not-run @promise-at-most-once
  Scenario: A request that was definitely not run releases its claim
    Given a claims site with 4 entry hosts
    When no worker of the claims site accepts requests
    And the request with the key is sent to entry host 1
    Then the last answer for the key is "not-run"
    When the workers of the claims site accept requests
    And the request with the key is sent to entry host 2
    Then the keyed request ran 1 time
    And the last answer for the key is "run"
    And the history of keyed requests has no violation

  @promise-at-most-once
  Scenario: A key that is reused for a request with different content is rejected
    Given a claims site with 4 entry hosts
    When entry host 1 answers a keyed request and its end is recorded
    And the key is sent to entry host 2 with different content
    Then the last answer for the key is "not-run"
    And the keyed request ran 1 time

  @promise-at-most-once
  Scenario: The number of store writes does not grow with the rate of claims
    Given a claims site with 4 entry hosts
    When 1000 keyed requests are sent over 2 seconds to the entry hosts in turn
    Then the store received at most 200 writes of claims
    And the history of keyed requests has no violation

  @promise-at-most-once @promise-not-run @failure-crash @failure-partition @failure-lost-answer @failure-store-down @failure-store-slow @failure-lapsed-lease @failure-race
  Scenario Outline: Keyed requests under concurrent random faults, seeds from <first>
    Then the histories of keyed requests under random faults have no violation for 4 seeds from <first>

    Examples:
      | first |
      | 1     |
      | 5     |
      | 9     |
      | 13    |
      | 17    |
