Feature: Placement of tasks, and what entry hosts report about them
  Each scenario causes the failure that would break one of the external
  platform's rules; the title starts with the name of the rule.

  @promise-long-work
  Scenario: ROUTE: tasks run in the pool of their queue, on hosts with the required label, within the limit per host
    Given 3 entry hosts and 2 hosts for workflows
    When 3 hosts with the label "kind-b" and 4 hosts of another pool join
    And 4 workflows of 6 tasks that require the label "kind-b" are submitted, at most 2 tasks per host
    And the leader is killed
    Then all are "completed" within 20 s
    And the run history has no violations

  @promise-long-work
  Scenario: DRAIN: a draining host gets no new tasks
    Given 3 entry hosts and 3 hosts for workflows
    When 10 workflows of 3 tasks of 400 ms are submitted
    And the host with the most runs announces that it is draining
    And 40 workflows are submitted, one every 100 ms
    Then all are "completed" within 20 s
    And the run history has no violations

  @promise-long-work
  Scenario: LIMIT: hosts that do not check their capacity are never overcommitted
    Given 3 entry hosts and 2 hosts for workflows
    When hosts do not check their capacity
    And 12 workflows of 6 tasks of 600 ms are submitted
    And 500 ms pass
    And the leader is killed
    Then all are "completed" within 20 s
    And the run history has no violations

  @promise-long-work @failure-crash
  Scenario: GANG: all tasks of a gang start even if the leader or a host of the gang crashes
    Given 3 entry hosts and 4 hosts for workflows
    When 3 gangs of 10 tasks of 3000 ms are submitted, at most 4 tasks per host
    And 500 ms pass
    And the leader is killed
    And 1 s pass
    And the host with the most runs restarts
    Then all are "completed" within 30 s
    And the run history has no violations

  @promise-long-work @failure-lost-answer
  Scenario: GANG: lost answers to start orders leave no gang incomplete
    Given 3 entry hosts and 4 hosts for workflows
    When 30 of 100 host answers to orders are lost
    And 3 gangs of 10 tasks of 1000 ms are submitted, at most 4 tasks per host
    Then all are "completed" within 30 s
    And the run history has no violations

  @promise-configuration
  Scenario: CONFIG: a version takes effect on every entry host within 2 s and is never replaced by an older one
    Given 3 entry hosts and 2 hosts for workflows
    When the operator writes configuration version 9 without the advised queue
    Then every entry host uses configuration version 9 within 2 s
    When the operator's configuration is reset to version 4
    And 3 s pass
    Then every entry host uses configuration version 9 within 2 s
    And the advised queue is unknown to every entry host

  @promise-long-work @failure-crash
  Scenario: MIXED: no entry host reports a workflow as completed before its last task is done
    Given 3 entry hosts and 2 hosts for workflows
    When a workflow of 40 tasks of 1500 ms is submitted
    And 500 ms pass
    And the leader is killed
    Then no entry host reports it as completed before its last task is done
    And the run history has no violations

  @promise-long-work @failure-crash
  Scenario: Acks: a cancellation is acknowledged while there is no leader, and its tasks end soon after
    Given 3 entry hosts and 3 hosts for workflows
    When a workflow of 6 tasks of 20000 ms is submitted
    And 500 ms pass
    And the leader is killed
    And 1 of the workflows is cancelled after 10 ms
    And 4 s pass
    Then no task of a cancelled workflow runs
    And the run history has no violations
