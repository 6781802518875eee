Feature: Histories of pool leaders and configuration revisions
  Leaders never overlap and accepted revisions never revert under any combination of faults.

  @promise-configuration @failure-race @failure-two-operators @failure-lost-answer @failure-crash @failure-partition @failure-store-down @failure-store-slow @failure-lapsed-lease
  Scenario: Operators make concurrent changes while entry hosts and the store fail
    Then the histories of leaders and revisions under random faults have no violation for 20 seeds

  Scenario Outline: The leadership checker finds a known violation
    Given a history of leaders in which <violation>
    Then the leadership checker reports "<rule>"

    Examples:
      | violation                            | rule                 |
      | two members lead at once             | one-leader-at-a-time |
      | two members lead under the same term | one-leader-per-term  |
      | a later leader has a lower term      | terms-grow           |

  Scenario Outline: The revision checker finds a known violation
    Given a history of revisions in which <violation>
    Then the revision checker reports "<rule>"

    Examples:
      | violation                                     | rule                    |
      | a member reverts to an older revision         | no-revert               |
      | two changes are accepted as the same revision | one-change-per-revision |
      | one change is accepted as two revisions       | one-revision-per-change |
      | a member does not get an accepted revision    | in-force-in-time        |
