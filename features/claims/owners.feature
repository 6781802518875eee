Feature: Owners of claim partitions
  Only the version of the last generation decides; ownership saves writes.

  @promise-at-most-once @failure-lapsed-lease
  Scenario: An owner that slept past its lease grants nothing that another has granted
    Given two members that share the claims
    When member "a" is granted the claim of key 1
    And member "b" believes that "a" is gone and is granted the claim of key 2
    Then member "a", awake with what it knew, is told "running" for key 2
    And member "a" is granted the claim of key 3
    And member "b" is told "running" for key 3

  @promise-at-most-once @promise-not-run @failure-lost-answer
  Scenario: A write whose answers are lost takes effect later
    Given two members that share the claims
    When the writes of member "a" are held back and their answers lost
    Then member "a" is told "unavailable" for key 1
    When the writes of member "a" take effect at last
    Then member "b" is told "running" for key 1

  @promise-at-most-once @failure-lost-answer
  Scenario: A write that takes effect too late changes nothing
    Given two members that share the claims
    When the writes of member "a" are held back and their answers lost
    Then member "a" is told "unavailable" for key 1
    And member "b" is granted the claim of key 1
    When the writes of member "a" take effect at last
    Then member "b" is told "running" for key 1
    And member "a" is told "running" for key 1

  @promise-at-most-once @failure-lost-answer
  Scenario: A lost answer is resolved by swapping again
    Given two members that share the claims
    When the answers of member "a" are lost after its writes took effect
    Then member "a" is granted the claim of key 1
    And member "b" is told "running" for key 1

  @promise-not-run @failure-store-down
  Scenario: Recorded answers stay readable at their owner while the store is away
    Given two members that share the claims
    When member "a" is granted the claim of key 1
    And member "a" records the end of key 1
    And the store is away for member "a"
    Then member "a" is told "unavailable" for key 2
    And member "a" is told "finished" for key 1

  @promise-at-most-once
  Scenario: Claims are kept for the retention and forgotten after it
    Given two members that share the claims
    When member "a" is granted the claim of key 1
    And a claim is made every 10 minutes for 50 minutes at member "a"
    Then member "a" is told "running" for key 1
    When a claim is made every 10 minutes for 120 minutes at member "a"
    Then member "a" is granted the claim of key 1
    And the claims take at most 16 keys of the store
