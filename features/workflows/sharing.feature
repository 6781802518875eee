Feature: Advised hosts, and hosts shared by serving tasks and fillers
  A step of an advised queue runs only with a ticket, and fillers never keep the
  tail latency of a serving task above its target for long.

  @promise-long-work
  Scenario: Tasks of an advised queue run only on hosts with a ticket
    Given 3 entry hosts and 6 hosts for workflows
    When a workflow of 12 tasks is submitted to the advised queue
    Then it is "completed" within 6 s
    And only advised hosts ran its tasks
    And the run history has no violations

  @promise-long-work
  Scenario: Fillers are slowed before they harm a serving task, also by the next leader
    Given 3 entry hosts and 1 hosts for workflows
    When a serving task and 2 fillers that disturb it are submitted
    And 3 s pass
    Then the serving task's tail latency is within its target for 2 s
    When the leader is killed
    And the fillers run at full pace again
    And 6 s pass
    Then the serving task's tail latency is within its target for 2 s
