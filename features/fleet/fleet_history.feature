Feature: The check of fleet histories finds planted faults

  Scenario Outline: A planted <fault> is found
    Given a sound fleet history of a drain, a reboot and a move
    When a "<fault>" is planted in the fleet history
    Then the check of the fleet history finds only "<fault>"

    Examples:
      | fault              |
      | budget-exceeded    |
      | unknown-budget     |
      | two-pools          |
      | unannounced-move   |
      | term-broken        |
      | illegal-transition |
      | unplanned-reboot   |
