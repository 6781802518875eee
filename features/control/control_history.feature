Feature: Histories of leaders and of the configuration
  Leaders never overlap and accepted revisions never revert, whatever fails together.

  @promise-configuration @failure-race @failure-two-operators @failure-lost-answer @failure-crash @failure-partition @failure-store-down @failure-store-slow @failure-lapsed-lease
  Scenario: Operators race while entry hosts and the store fail
    Then over 20 seeds the history of leaders and revisions under random faults holds

  Scenario Outline: The checker of leaders finds a planted fault
    Given a recorded history of leaders in which <fault>
    Then the check of leaders reports "<rule>"

    Examples:
      | fault                                   | rule                 |
      | two members lead at once                | one-leader-at-a-time |
      | two members lead under one term         | one-leader-per-term  |
      | a later leader has a lower term         | terms-grow           |

  Scenario Outline: The checker of revisions finds a planted fault
    Given a recorded history of revisions in which <fault>
    Then the check of revisions reports "<rule>"

    Examples:
      | fault                                   | rule                    |
      | a member goes back to an older revision | no-revert               |
      | two changes are accepted as one revision | one-change-per-revision |
      | one change is accepted twice            | one-revision-per-change |
      | a member misses an accepted revision    | in-force-in-time        |
