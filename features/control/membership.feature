Feature: Membership and leadership of pools

  Background:
    Given a control plane with 4 members

  Scenario: Every member considers all members live
    Then each member considers 4 members "live"

  @failure-crash
  Scenario: A restarted member gets a new incarnation without delay
    When member 2 crashes and restarts with the same id
    Then within 5 seconds each member sees the new incarnation of member 2

  @failure-crash
  Scenario: A crashed member is considered gone after its lease has ended
    When member 3 crashes
    Then within 5 seconds member 1 considers member 3 "gone" because "its lease has ended"

  @failure-partition
  Scenario: A member that the other members cannot reach keeps its lease and its pools
    When member 2 is partitioned from the other members
    Then within 6 seconds member 1 considers member 2 "suspect" because "its lease holds"
    And every pool has one leader

  @promise-graceful-stop
  Scenario: A planned stop hands over every pool within a second
    When the member that leads "dish-desk" performs a planned stop
    Then within 1 second another member leads "dish-desk" under a higher term

  @failure-lapsed-lease
  Scenario: A paused leader stops leading before another member may take over
    When the member that leads "sky-lookup" is paused for 6 seconds
    Then another member leads "sky-lookup" under a higher term
    And the recorded leadership history has no violation

  Scenario: A leader record that was deleted by an operator is replaced under a higher term
    When the leader record of "planner-api" is deleted from the store
    Then within 2 seconds "planner-api" is led under a higher term
    And the recorded leadership history has no violation

  # Guards against a leader that goes on with the state that an unexpected error left behind.
  Scenario: A member that ends its terms leads again under higher ones
    When the member that leads "sky-lookup" ends its terms after an error
    Then within 2 seconds "sky-lookup" is led under a higher term
    And within 2 seconds every pool has one leader
    And the recorded leadership history has no violation

  # Guards against a pool that costs the terms of all others.
  Scenario: A member that ends the term of one pool keeps its other terms
    When the member that leads "sky-lookup" ends the term of this pool after an error
    Then within 2 seconds "sky-lookup" is led under a higher term
    And the terms of all other pools are as before
    And the recorded leadership history has no violation

  Scenario: Jumps of the wall clock do not change any leader
    When the wall clock jumps forward by 3600 seconds and then back by 7200 seconds
    Then no pool has changed its leader

  @failure-correlated-wave
  Scenario: All members are replaced at once
    When all members crash and 3 new members start
    Then within 8 seconds every pool is led by a new member under a higher term
    And revision 1 is active at the new members

  @failure-store-down
  Scenario: Leaders resign during a store outage and are elected again without a burst of store calls
    When the store is unavailable to all members for 60 seconds
    Then no member led a pool at the end of the outage
    And within 10 seconds every pool has one leader
    And no member called the store more than 25 times in any second after the outage

  Scenario Outline: Leadership is distributed within the load bound
    Then assigning <pools> pools to <members> members gives no member more than <bound> pools

    Examples:
      | pools | members | bound |
      | 5     | 7       | 1     |
      | 69    | 7       | 13    |
      | 69    | 60      | 2     |
