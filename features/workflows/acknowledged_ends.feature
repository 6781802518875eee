Feature: Ends that are acknowledged
  A host forgets an end once it is acknowledged, so its effect must be stored
  before.

  # Guards against ends of a restarted host that are acknowledged unread: no answer
  # is lost, but the leader has no processor time to read the one that shows the
  # restart.
  @promise-long-work @failure-crash @failure-store-slow
  Scenario: A host restarts between two reports, and the leader reads the answer to its first start late
    Given 3 entry hosts and 1 hosts for workflows
    When 10 workflows of 6 tasks are submitted
    Then all are "completed" within 12 s
    When a workflow of 1 tasks of 1550 ms is submitted
    And 50 ms pass
    And every call to the store takes 300 ms
    And the host restarts just before the first start after its next end, whose answer the leader reads 800 ms late
    And a workflow of 1 tasks of 20 ms is submitted
    And a workflow of 1 tasks of 20 ms is submitted
    And a workflow of 1 tasks of 20 ms is submitted
    And a workflow of 1 tasks of 20 ms is submitted
    And 2 s pass
    And every call to the store takes 0 ms
    Then all are "completed" within 12 s
    And the run history has no violations
