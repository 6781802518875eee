Feature: An accepted configuration becomes active at every member and never reverts

  Background:
    Given a control plane with 4 members

  @promise-configuration @failure-two-operators
  Scenario: The second of two concurrent changes is refused as a conflict that shows the difference
    When two operators set the deadline of "dish-desk" to 700 ms and 800 ms at once
    Then one change is accepted as revision 2
    And the other change is refused as a conflict at "profiles.dish-desk.deadlineMs"

  @promise-configuration @failure-lost-answer
  Scenario: A repeated change returns its revision after a lost answer and a later change
    When the answer to an accepted change is lost and another change is accepted
    Then repeating the first change returns revision 2 and changes nothing

  @promise-configuration
  Scenario: The accepted revision is written back to a store that was restored from an older backup
    When the store is restored from a backup taken before revision 2
    Then within 3 seconds the store holds revision 2 again
    And revision 2 remained active at every member

  @promise-configuration @failure-store-down @failure-crash
  Scenario: A member that restarts during a store outage gets the revision from the other members
    When revision 2 is accepted, the store becomes unavailable and member 4 restarts
    Then within 5 seconds revision 2 is active at the restarted member

  @promise-configuration @failure-partition
  Scenario: A member that cannot reach the store gets a change from the other members
    When member 4 cannot reach the store and a change is accepted at member 1
    Then within 2 seconds revision 2 is active at member 4

  Scenario: Operators can read earlier revisions and the rollout status of the active one
    When 3 changes are accepted in sequence
    Then the history lists the revisions 1 to 4
    And revision 3 can still be read
    And within 3 seconds every member reports revision 4 as active on 4 of 4 members
