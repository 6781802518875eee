Feature: A task that crashes hosts is given up
  A task may crash each host that starts it. It is given up after a few crashes,
  and tasks that shared hosts with it are not.

  # Guards against a task that is started again on host after host and crashes each of them.
  @promise-long-work @failure-impossible-job
  Scenario: A task that crashes each host that starts it
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 1 task that crashes its hosts is submitted
    Then it is "failed" within 20 s
    And it has crashed at most 3 hosts
    And the run history has no violations

  # Guards against a count of crashes that a change of leader loses.
  @promise-long-work @failure-impossible-job @failure-crash
  Scenario: The leader crashes between two crashes of hosts
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 1 task that crashes its hosts is submitted
    And 2 s pass
    And the leader is killed
    And 4 s pass
    And the leader is killed
    Then it is "failed" within 20 s
    And it has crashed at most 5 hosts

  # Guards against workflows that are given up because of the crashes that others cause.
  @promise-long-work @failure-impossible-job
  Scenario: Workflows that share hosts with tasks that crash them
    Given 3 entry hosts and 6 hosts for workflows
    When 40 workflows of 4 tasks of 600 ms are submitted, every tenth of which crashes its hosts, one every 200 ms
    And 40 s pass
    Then the workflows that crash their hosts are "failed", and all others are "completed"
    And no task has crashed more than 5 hosts
    And the run history has no violations

  # Guards against lasting tasks that are given up because their hosts crash by themselves.
  @promise-long-work @failure-crash
  Scenario: Hosts crash again and again under tasks that last
    Given 3 entry hosts and 3 hosts for workflows
    When a workflow of 3 tasks that last for good is submitted
    And each host crashes 5 times, once every 5 s
    Then it is "running" within 1 s

  # Guards against a lasting task that is started again on host after host and
  # crashes each of them.
  @promise-long-work @failure-impossible-job
  Scenario: A lasting task that crashes each host that starts it
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 1 lasting task that crashes its hosts is submitted
    Then it is "failed" within 20 s
    And it has crashed at most 3 hosts

  # Guards against lasting tasks that are given up, and stopped on all other hosts,
  # because one host crashes just after its starts of one of them.
  @promise-long-work @failure-crash
  Scenario: A host crashes again and again while it starts a task that lasts
    Given 3 entry hosts and 8 hosts for workflows
    When a workflow of 8 tasks that last for good is submitted
    And 4 s pass
    And one host crashes 5 times, each time 200 ms after it has started a task again
    And 4 s pass
    Then it is "running" within 1 s
    And no run has been stopped

  # Guards against a task that is never suspected because its host crashes before it acknowledges the start.
  Scenario: A host crashes before it has acknowledged all starts
    Given a host that has acknowledged the start of 1 of 2 tasks
    When it crashes
    Then both tasks may have caused the crash
    And none of them is given up

  # Guards against a sound task that is given up after two crashes, one of which
  # another task may have caused.
  Scenario: Only one of the crashes under a task has no other possible cause
    Given a host that has acknowledged the start of 2 of 2 tasks
    When it crashes
    And it crashes again while it starts only the first of them
    Then none of them is given up
    When it crashes again while it starts only the first of them
    Then the first of them is given up
