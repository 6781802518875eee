Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a control site with 4 members

  @promise-configuration @failure-two-operators
  Scenario: The second of two racing operators gets a conflict that shows the difference
    When two operators set the deadline of "dish-desk" to 700 ms and 800 ms at once
    Then one change is accepted as revision 2
    And the other one is refused as a conflict at "profiles.dish-desk.deadlineMs"

  @promise-configuration @failure-lost-answer
  Scenario: A change whose answer was lost is resolved though another one followed
    When a change is accepted without its answer and another change follows
    Then repeating the first change gives revision 2 and changes nothing

  @promise-configuration
  Scenario: A store restored to an old backup gets the accepted revision back
    When the store is restored to a backup from before revision 2
    Then within 3 seconds the store holds revision 2 again
    And revision 2 was in force at every member all the time

  @promise-configuration @failure-store-down @failure-crash
  Scenario: A member that restarts during a store outage takes the revision from the others
    When revision 2 is accepted, the store goes away and member 4 restarts
    Then within 5 seconds revision 2 is in force at the restarted member

  @promise-configuration @failure-partition
  Scenario: A member without a way to the store gets a change from the others
    When member 4 loses the store and a change is accepted at member 1
    Then within 2 seconds revision 2 is in force at member 4

  Scenario: History and spread
    When 3 changes are accepted one after the other
    Then the history lists the revisions 1 to 4
    And revision 3 can still be read
    And within 3 seconds every member knows that revision 4 is in force on 4 of 4
