Feature: The tasks that a leader holds are bounded
  # Guards against submissions that take each leader's memory in turn, as every successor reads them again.
  Scenario Outline: A flood of <kind> workflows is refused before it fills the leader
    Given 3 entry hosts and 4 hosts for workflows
    When 60 <kind> workflows of 10000 tasks are submitted within 6 s
    Then at least 6 and at most 13 of them are accepted
    And the others are refused
    When a workflow of 6 tasks followed by 3 tasks is submitted
    Then it is "completed" within 10 s

    Examples:
      | kind         |
      | scheduled    |
      | long-running |
      | unplaceable  |

  Scenario: Tasks of workflows that have ended no longer count once they are removed
    Given 3 entry hosts and 4 hosts for workflows
    When 60 unplaceable workflows of 10000 tasks are submitted within 6 s
    And the accepted ones are cancelled and their retention period passes
    And 60 unplaceable workflows of 10000 tasks are submitted within 6 s
    Then at least 6 and at most 13 of them are accepted

  # Guards against few tasks whose descriptions take a leader's memory.
  Scenario: Long labels count like tasks
    Given 3 entry hosts and 4 hosts for workflows
    When 400 wordy workflows of 1 tasks are submitted within 6 s
    Then at least 150 and at most 260 of them are accepted
    And the others are refused
