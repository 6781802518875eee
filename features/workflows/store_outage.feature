Feature: Submissions while the store is away for a few seconds
  A caller waits for its answer for some time and repeats a submission a few
  times only. Its attempts should not be spent while the store is away.

  @promise-not-run @failure-lost-answer
  Scenario: A store that is silent for two seconds costs a caller that waits for five no attempt
    Given 3 entry hosts and 4 hosts for workflows
    When the store is silent and a caller submits a workflow that waits 5000 ms
    And 2000 ms pass
    Then the caller has no answer yet
    When the store answers again
    Then the caller is answered "accepted" within 500 ms
    And all are "completed" within 3 s
    And one run has started

  @promise-not-run @failure-lost-answer
  Scenario: A caller is told that the outcome is unknown after half of its wait
    Given 3 entry hosts and 4 hosts for workflows
    When the store is silent and a caller submits a workflow that waits 3000 ms
    Then the caller is answered "unknown" within 1500 ms
    And the entry host must not call the workflow refused

  @promise-not-run
  Scenario: A submission waits for a store that comes back within a fifth of the caller's time
    Given 3 entry hosts and 4 hosts for workflows
    When the store is unreachable for 3 s and a caller submits a workflow that waits 3000 ms
    And 200 ms pass
    And the store answers again
    Then the caller is answered "accepted" within 400 ms

  @promise-not-run
  Scenario: While the store stays away a caller is refused early and told when to come back
    Given 3 entry hosts and 4 hosts for workflows
    When the store is unreachable for 3 s and a caller submits a workflow that waits 3000 ms
    Then the caller is answered "unavailable" within 600 ms
    And it is asked to come back after 1000 ms

  # Guards against a deployment without a leader after an outage
  @promise-long-work @failure-store-down
  Scenario: The only entry host leads again after outages in which its lease has run out
    Given 1 entry hosts and 4 hosts for workflows
    When the store is away 8 times, longer than the leader's lease
    And a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    And the run history has no violations

  # Guards against tasks that are done and run again because their ends arrive
  # after their runs were given up
  @promise-long-work @failure-partition
  Scenario: The ends of runs that were given up count
    Given 3 entry hosts and 1 hosts for workflows
    When a workflow of 8 tasks of 2000 ms is submitted
    And 1 s pass
    And every host stops answering but keeps running
    And 9 s pass
    And every host answers again
    Then all are "completed" within 3 s
    And every task has started exactly once
    And the run history has no violations

  # Guards against ends that are acknowledged before the next leader could know
  # of them
  @promise-long-work @failure-partition @failure-store-down @failure-crash
  Scenario: The ends of runs that were given up outlast an outage and the leader
    Given 3 entry hosts and 1 hosts for workflows
    When a workflow of 8 tasks of 2000 ms is submitted
    And 1 s pass
    And every host stops answering but keeps running
    And 6600 ms pass
    And the store is unreachable from every entry host
    And 400 ms pass
    And every host answers again
    And 600 ms pass
    And the leader is killed
    And the store is reachable again
    Then it is "completed" within 12 s
    And every task has started exactly once
    And the run history has no violations
