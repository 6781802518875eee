Feature: Where tasks run, together with which, and what is told of them
  Each scenario plays the failure that would break one of the users' rules.

  @promise-long-work
  Scenario: ROUTE: tasks run in their queue's pool, with its label, within the limit per host
    Given 3 entry hosts and 2 hosts for workflows
    When 3 hosts with the label "kind-b" and 4 hosts of another pool join
    And 4 workflows of 6 tasks that need "kind-b" are submitted, at most 2 on a host
    And the leader is killed
    Then all are "completed" within 20 s
    And the history of runs holds every promise

  @promise-long-work
  Scenario: DRAIN: a host that announced that it leaves gets no task
    Given 3 entry hosts and 3 hosts for workflows
    When 10 workflows of 3 tasks of 400 ms are submitted
    And the host with the most runs announces that it leaves
    And 40 submissions come, one every 100 ms
    Then all are "completed" within 20 s
    And the history of runs holds every promise

  @promise-long-work
  Scenario: LIMIT: hosts that start whatever they are told are never overfull
    Given 3 entry hosts and 2 hosts for workflows
    When hosts start whatever they are told
    And 12 workflows of 6 tasks of 600 ms are submitted
    And 500 ms pass
    And the leader is killed
    Then all are "completed" within 20 s
    And the history of runs holds every promise

  @promise-long-work @failure-crash
  Scenario: GANG: a gang starts whole, also when the leader or a host of it dies
    Given 3 entry hosts and 4 hosts for workflows
    When 3 gangs of 10 tasks of 3000 ms are submitted, at most 4 on a host
    And 500 ms pass
    And the leader is killed
    And 1 s pass
    And the host with the most runs restarts
    Then all are "completed" within 30 s
    And the history of runs holds every promise

  @promise-long-work @failure-lost-answer
  Scenario: GANG: lost answers to its starts leave no member alone
    Given 3 entry hosts and 4 hosts for workflows
    When 30 of 100 answers of hosts to orders are lost
    And 3 gangs of 10 tasks of 1000 ms are submitted, at most 4 on a host
    Then all are "completed" within 30 s
    And the history of runs holds every promise

  @promise-configuration
  Scenario: CONFIG: a version is in force everywhere within 2 s and never gives way to an older one
    Given 3 entry hosts and 2 hosts for workflows
    When the operator writes version 9 without the advised queue
    Then every entry host has version 9 within 2 s
    When the operator's key is written back to version 4
    And 3 s pass
    Then every entry host has version 9 within 2 s
    And the advised queue is unknown to every entry host

  @promise-long-work @failure-crash
  Scenario: MIXED: nobody tells that a workflow is complete before its last task is done
    Given 3 entry hosts and 2 hosts for workflows
    When a workflow of 40 tasks of 1500 ms is submitted
    And 500 ms pass
    And the leader is killed
    Then no entry host tells that it is complete before its last task is done
    And the history of runs holds every promise

  @promise-long-work @failure-crash
  Scenario: Acks: a cancellation is acknowledged while nobody leads, and its tasks end soon after
    Given 3 entry hosts and 3 hosts for workflows
    When a workflow of 6 tasks of 20000 ms is submitted
    And 500 ms pass
    And the leader is killed
    And 1 of them are cancelled after 10 ms
    And 4 s pass
    Then nothing of the cancelled ones runs
    And the history of runs holds every promise
