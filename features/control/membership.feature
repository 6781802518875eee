Feature: Members know each other and share the leadership of pools

  Background:
    Given a control site with 4 members

  Scenario: Every member explains why it considers the others live
    Then each member considers 4 members "live"

  @failure-crash
  Scenario: A restarted member is a new incarnation at once
    When member 2 crashes and starts again under its id
    Then within 5 seconds each member knows the new incarnation of member 2

  @failure-crash
  Scenario: A crashed member is suspect first and gone when its lease has ended
    When member 3 crashes
    Then within 5 seconds member 1 considers member 3 "gone" since "its lease has ended"

  @failure-partition
  Scenario: A member that is out of reach of the others keeps its lease and its pools
    When member 2 is cut off from the other members
    Then within 6 seconds member 1 considers member 2 "suspect" since "its lease holds"
    And every pool has one leader

  @promise-graceful-stop
  Scenario: A planned stop hands every pool over in less than a second
    When the member that leads "dish-desk" is stopped as planned
    Then within 1 second another member leads "dish-desk" under a higher term

  @failure-lapsed-lease
  Scenario: A paused leader stops leading before another one may start
    When the member that leads "sky-lookup" is paused for 6 seconds
    Then another member leads "sky-lookup" under a higher term
    And the recorded history of control is sound

  Scenario: A claim that was deleted by hand is made again under a higher term
    When the claim of "planner-api" is deleted from the store
    Then within 2 seconds "planner-api" is led under a higher term
    And the recorded history of control is sound

  Scenario: Jumps of the wall clock change no leader
    When the wall clock jumps by 3600 seconds and back by 7200 seconds
    Then no pool has changed its leader

  @failure-correlated-wave
  Scenario: All members are replaced at once
    When all members crash and 3 new ones start
    Then within 8 seconds every pool is led by a new member under a higher term
    And revision 1 is in force at the new members

  @failure-store-down
  Scenario: Leaders spend nothing during a store outage and come back without a rush
    When the store is away from all members for 60 seconds
    Then no member led a pool at the end of the outage
    And within 10 seconds every pool has one leader
    And no member called the store more than 25 times in any second after the outage

  Scenario Outline: Leadership is spread within the load bound
    Then <pools> pools over <members> members give no member more than <bound> pools

    Examples:
      | pools | members | bound |
      | 5     | 7       | 1     |
      | 69    | 7       | 13    |
      | 69    | 60      | 2     |
