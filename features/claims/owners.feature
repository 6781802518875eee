Feature: Owners of claim partitions
  The compare-and-swap on the version of the latest generation prevents conflicting
  grants even if two members consider themselves owners; a single owner merely saves writes.

  @promise-at-most-once @failure-lapsed-lease
  Scenario: An owner that was paused beyond its lease grants nothing that another member has granted
    Given two members that share the claim partitions
    When member "a" is granted the claim of key 1
    And member "b", which considers "a" gone, is granted the claim of key 2
    Then member "a", which resumes with its outdated state, gets "running" for key 2
    And member "a" is granted the claim of key 3
    And member "b" gets "running" for key 3

  @promise-at-most-once @promise-not-run @failure-lost-answer
  Scenario: A delayed write whose answer is lost takes effect later
    Given two members that share the claim partitions
    When the writes of member "a" are delayed and their answers are lost
    Then member "a" gets "unavailable" for key 1
    When the delayed writes of member "a" take effect
    Then member "b" gets "running" for key 1

  @promise-at-most-once @failure-lost-answer
  Scenario: A delayed write with an outdated version has no effect
    Given two members that share the claim partitions
    When the writes of member "a" are delayed and their answers are lost
    Then member "a" gets "unavailable" for key 1
    And member "b" is granted the claim of key 1
    When the delayed writes of member "a" take effect
    Then member "b" gets "running" for key 1
    And member "a" gets "running" for key 1

  @promise-at-most-once @failure-lost-answer
  Scenario: A lost answer to a write is resolved by repeating the swap
    Given two members that share the claim partitions
    When the writes of member "a" take effect but their answers are lost
    Then member "a" is granted the claim of key 1
    And member "b" gets "running" for key 1

  # Guards against an owner that ends its process, or forgets claims, on an entry that can't be read.
  @promise-at-most-once
  Scenario: Nothing is granted while a segment of the log can't be read
    Given two members that share the claim partitions
    And another program writes "null" to the log of the claim partitions
    Then member "a" gets "unavailable" for key 1
    When the entry of the other program is deleted
    Then member "a" is granted the claim of key 1

  @promise-not-run @failure-store-down
  Scenario: Recorded answers can be read from their owner while the store is unavailable
    Given two members that share the claim partitions
    When member "a" is granted the claim of key 1
    And member "a" records the end of key 1
    And the store is unavailable to member "a"
    Then member "a" gets "unavailable" for key 2
    And member "a" gets "finished" for key 1

  @promise-at-most-once
  Scenario: Claims are kept for the retention time and then deleted
    Given two members that share the claim partitions
    When member "a" is granted the claim of key 1
    And a new key is claimed every 10 minutes for 50 minutes at member "a"
    Then member "a" gets "running" for key 1
    When a new key is claimed every 10 minutes for 120 minutes at member "a"
    Then member "a" is granted the claim of key 1
    And the claims occupy at most 16 keys of the store
