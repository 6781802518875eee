Feature: The fleet history checker reports injected faults

  Scenario Outline: An injected <fault> is reported
    Given a sound fleet history of a drain, a reboot and a move
    When a "<fault>" is injected into the fleet history
    Then the fleet history checker reports only "<fault>"

    Examples:
      | fault              |
      | budget-exceeded    |
      | unknown-budget     |
      | two-pools          |
      | unannounced-move   |
      | term-broken        |
      | illegal-transition |
      | unplanned-reboot   |
