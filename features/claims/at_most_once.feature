Feature: Non-idempotent requests run at most once
  A key's claim is durable before its request goes to a worker.

  @promise-at-most-once @failure-race
  Scenario: The same key goes in at every entry host at once
    Given a claims site of 4 entry hosts
    When a non-idempotent request with one key goes in at every entry host at once
    Then the keyed request ran 1 time
    And every caller of the key has the answer of that run
    And the history of keyed requests holds

  @promise-at-most-once @failure-crash
  Scenario: The entry host crashes after the run and another one has the answer
    Given a claims site of 4 entry hosts
    When a keyed request is answered at entry host 1 and its end is recorded
    And claims entry host 1 crashes
    And the key's request goes in again at entry host 2
    Then the keyed request ran 1 time
    And every caller of the key has the answer of that run

  @promise-at-most-once @failure-crash
  Scenario: The entry host crashes during the run and repeats are told so
    Given a claims site of 4 entry hosts
    When entry host 1 crashes while it runs a keyed request
    And the key's request goes in again at entry host 2
    Then the keyed request ran 1 time
    And the last answer to the key is "unknown"
    And the history of keyed requests holds

  @promise-not-run @promise-at-most-once @failure-store-down
  Scenario: Without the store nothing is claimed, and nothing runs
    Given a claims site of 4 entry hosts
    When the claims site loses the store
    And the key's request goes in again at entry host 2
    Then the keyed request ran 0 times
    And the last answer to the key is "not-run"
    When the claims site has the store again
    And the key's request goes in again at entry host 3
    Then the keyed request ran 1 time
    And the history of keyed requests holds

  @promise-not-run @promise-at-most-once
  Scenario: A request that certainly was not run gives its claim back
    Given a claims site of 4 entry hosts
    When no worker of the claims site accepts requests
    And the key's request goes in again at entry host 1
    Then the last answer to the key is "not-run"
    When the workers of the claims site accept requests
    And the key's request goes in again at entry host 2
    Then the keyed request ran 1 time
    And the last answer to the key is "run"
    And the history of keyed requests holds

  @promise-at-most-once
  Scenario: A key with another request's content is refused
    Given a claims site of 4 entry hosts
    When a keyed request is answered at entry host 1 and its end is recorded
    And the key comes again at entry host 2 with other content
    Then the last answer to the key is "not-run"
    And the keyed request ran 1 time

  @promise-at-most-once
  Scenario: Store writes do not follow the rate of claims
    Given a claims site of 4 entry hosts
    When 1000 keyed requests go in over 2 seconds at every entry host in turn
    Then the store took at most 200 writes of claims
    And the history of keyed requests holds

  @promise-at-most-once @promise-not-run @failure-crash @failure-partition @failure-lost-answer @failure-store-down @failure-store-slow @failure-lapsed-lease @failure-race
  Scenario Outline: Keyed requests under faults that come together, seeds from <first>
    Then over 4 seeds from <first> the history of keyed requests under random faults holds

    Examples:
      | first |
      | 1     |
      | 5     |
      | 9     |
      | 13    |
      | 17    |
