Feature: What an organisation has running stays within its cap
  An organisation that submits more than it may have running waits for its own
  tasks to end; the rest of the fleet stays free for others.

  Scenario: Work of an organisation beyond its cap runs in waves beside others
    Given 3 entry hosts and 4 hosts for workflows
    And the organisation "acme" may have 6000 thousandths of a processor running
    When "acme" submits a workflow of 18 tasks of 1000 ms
    And "other" submits a workflow of 18 tasks of 1000 ms
    And 500 ms pass
    Then 6 tasks of "acme" are running
    And 18 tasks of "other" are running
    And it is "completed" within 1 s
    And all are "completed" within 5 s
    And no organisation has exceeded its cap

  Scenario: A higher cap starts more, and a lower one stops nothing but starts nothing
    Given 3 entry hosts and 4 hosts for workflows
    And the organisation "acme" may have 6000 thousandths of a processor running
    When "acme" submits a workflow of 24 tasks of 3000 ms
    And 500 ms pass
    And the organisation "acme" may have 10000 thousandths of a processor running
    And 1 s pass
    Then 10 tasks of "acme" are running
    When the organisation "acme" may have 4000 thousandths of a processor running
    And 1 s pass
    Then 10 tasks of "acme" are running
    When 4 s pass
    Then 4 tasks of "acme" are running
    And no organisation has exceeded its cap

  Scenario: Memory counts like processors, in all pools together
    Given 3 entry hosts and 4 hosts for workflows
    And the organisation "acme" may have 2560 MB of memory in use
    When "acme" submits a workflow of 18 tasks of 1000 ms
    And 500 ms pass
    Then 5 tasks of "acme" are running

  Scenario: A task larger than the whole cap runs alone
    Given 3 entry hosts and 4 hosts for workflows
    And the organisation "acme" may have 500 thousandths of a processor running
    When "acme" submits a workflow of 3 tasks of 500 ms
    And 300 ms pass
    Then 1 task of "acme" is running
    And it is "completed" within 4 s

  @failure-crash
  Scenario: The next leader counts runs of cancelled workflows that are not stopped yet
    Given 3 entry hosts and 4 hosts for workflows
    And the organisation "acme" may have 6000 thousandths of a processor running
    When "acme" submits a workflow of 6 tasks of 9000 ms
    And 1 s pass
    And 100 of 100 orders to hosts are carried out 60000 ms late without an answer
    And "acme" cancels its first workflow
    And 500 ms pass
    And "acme" submits a workflow of 6 tasks of 1000 ms
    And the leader is killed
    And 0 of 100 orders to hosts are carried out 0 ms late without an answer
    And 3 s pass
    Then no organisation has exceeded its cap
    And it is "completed" within 16 s
    And no organisation has exceeded its cap

  Scenario: Nothing of an organisation starts before a configuration was read
    Given a waiting workflow of 3 tasks of "acme"
    When the leader has not read a configuration
    Then none of its tasks may start

  @failure-crash
  Scenario: All entry hosts restart, and the cap holds from the first start on
    Given 3 entry hosts and 4 hosts for workflows
    And the organisation "acme" may have 6000 thousandths of a processor running
    When "acme" submits a workflow of 18 tasks of 3000 ms
    And 500 ms pass
    And every entry host is killed
    And 3 new entry hosts start
    Then it is "completed" within 30 s
    And no organisation has exceeded its cap

  Scenario: The next leader counts members of a gang that was completed by another's end
    Given a gang of 3 placed tasks that are done and have not reported their ends
    When its progress is stored and read by the next leader
    Then 3 of its tasks are done and 3 still have a host

  Scenario: Random groups of random sizes never start above the cap
    When 300 random sequences of placements and ends are played with seed 31
    Then each start kept what the organisation uses within its cap
    And an organisation below half of its cap could always start

  @failure-crash @failure-lost-answer @failure-partition
  Scenario: Random histories of submissions, losses, takeovers and versions keep the cap
    When 12 random histories of 14 steps are played with each of the seeds 1 to 3
    Then no organisation exceeded its cap in any of them
    And the histories have starts, losses and takeovers
