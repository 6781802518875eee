Feature: Workflows run to completion despite failures
  An accepted workflow is never lost and completes, no task has two runs at once
  or runs again after its end was acknowledged, and refused workflows never run.

  @promise-long-work
  Scenario: A step starts once all tasks of the previous step are done
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 6 tasks followed by 3 tasks is submitted
    Then it is "completed" within 3 s
    And the run history has no violations

  @promise-long-work @failure-crash
  Scenario: The leader crashes while tasks run, and its successor takes them over
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 4000 ms is submitted
    And 1 s pass
    And the leader is killed
    Then it is "completed" within 8 s
    And every task has started exactly once
    And the run history has no violations

  @promise-long-work @failure-crash
  Scenario: All entry hosts crash right after a workflow is accepted
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 1500 ms is submitted
    And every entry host is killed
    And 2 s pass
    And 3 new entry hosts start
    Then it is "completed" within 12 s
    And the run history has no violations

  @promise-long-work @failure-crash
  Scenario: A host stops answering, and its tasks run elsewhere only after its lease expires
    Given 3 entry hosts and 2 hosts for workflows
    When a workflow of 20 tasks of 3000 ms is submitted
    And 1 s pass
    And the host with the most runs stops answering but keeps running
    Then it is "completed" within 25 s
    And the run history has no violations

  @promise-long-work @failure-crash
  Scenario: A host restarts, and its tasks run again immediately
    Given 3 entry hosts and 2 hosts for workflows
    When a workflow of 20 tasks of 3000 ms is submitted
    And 1 s pass
    And the host with the most runs restarts
    Then it is "completed" within 9 s
    And the run history has no violations

  @promise-not-run @failure-store-down
  Scenario: No workflow is accepted while the store is unreachable, and running tasks continue
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 3000 ms is submitted
    And 500 ms pass
    And the store is unreachable from every entry host
    Then a submission has the outcome "unavailable" and never runs
    When 5 s pass
    And the store is reachable again
    Then it is "completed" within 4 s
    And every task has started exactly once
    And the run history has no violations

  @promise-not-run @failure-lost-answer
  Scenario: A submission that is repeated after a lost answer creates one workflow
    Given 3 entry hosts and 4 hosts for workflows
    When the store's answers to writes are lost
    Then a submission has the outcome "unknown"
    When the store's answers arrive again
    And the same submission is repeated at another entry host
    Then it is "completed" within 4 s
    And every task has started exactly once
    And the run history has no violations

  @promise-long-work @failure-partition
  Scenario: The leader is cut off from the store, and another entry host takes over
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 6000 ms is submitted
    And 1 s pass
    And the leader is cut off from the store
    Then another entry host is the leader within 2 s
    And it is "completed" within 9 s
    And every task has started exactly once
    And the run history has no violations

  @promise-long-work @failure-store-slow @failure-lost-answer
  Scenario: A slow store that loses a third of its answers does not depose the leader
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 6000 ms is submitted
    And every call to the store takes 400 ms
    And 35 of 100 store answers are lost
    And 15 s pass
    Then the leader has not changed
    And the run history has no violations

  @promise-not-run @failure-lost-answer
  Scenario: Work continues while a third of the store's answers to writes are lost
    Given 3 entry hosts and 4 hosts for workflows
    When 35 of 100 store answers are lost, which is detected after 1500 ms
    And 120 workflows are submitted, one every 50 ms
    Then at least nine of ten were accepted, and the others have an unknown outcome
    And all are "completed" within 1 s
    And at least nine of ten tasks started within 1500 ms of their submission
    And every task has started exactly once
    And the run history has no violations

  @promise-long-work @failure-lost-answer
  Scenario: Hosts carry out orders seconds late while workflows are cancelled
    Given 3 entry hosts and 4 hosts for workflows
    When 40 of 100 orders to hosts are carried out 3000 ms late without an answer
    And 12 workflows of 3 tasks of 2000 ms are submitted
    And 6 of the workflows are cancelled after 300 ms
    And 15 s pass
    Then the workflows that were not cancelled are "completed"
    And no task of a cancelled workflow runs
    And the run history has no violations

  @promise-long-work @failure-lost-answer
  Scenario: A host that loses some orders and answers others still gets tasks
    Given 3 entry hosts and 4 hosts for workflows
    When 10 of 100 orders to hosts are carried out 3000 ms late without an answer
    And 60 workflows of 6 tasks of 500 ms are submitted
    Then all are "completed" within 6 s
    And the run history has no violations

  @promise-long-work @failure-lost-answer
  Scenario: Lost answers to hold calls delay run ends only briefly
    Given 3 entry hosts and 4 hosts for workflows
    When 40 of 100 hold calls to hosts are not answered
    And 10 workflows of 3 tasks followed by 3 tasks are submitted
    Then all are "completed" within 2 s
    And the run history has no violations

  @promise-long-work @failure-impossible-job
  Scenario: A workflow whose tasks always fail is failed within its attempt limit
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow whose tasks fail 9 times is submitted
    Then it is "failed" within 6 s
    And the run history has no violations

  @promise-long-work @failure-bad-worker
  Scenario: A task that fails on one host runs on another
    Given 3 entry hosts and 4 hosts for workflows
    When every run on one host fails
    And 10 workflows of 6 tasks are submitted
    Then all are "completed" within 12 s
    And the run history has no violations

  @promise-long-work @failure-crash
  Scenario: A host crashes after a leader change, and its lasting tasks soon run again
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 6 lasting tasks is submitted, at most 2 tasks per host
    And 2 s pass
    And the leader is killed
    And 4 s pass
    And the host with the most runs crashes and no longer answers
    Then all lasting tasks are running within 8 s
    And the run history has no violations

  @promise-long-work @failure-crash
  Scenario: A host and then the leader crash, and the lasting tasks run again once every lease has expired
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 6 lasting tasks is submitted, at most 2 tasks per host
    And 2 s pass
    And the host with the most runs crashes and no longer answers
    And 2 s pass
    And the leader is killed
    Then all lasting tasks are running within 13 s
    And the run history has no violations

  @promise-long-work
  Scenario: Lasting tasks are moved off a draining host before it leaves
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 6 lasting tasks is submitted, at most 2 tasks per host
    And 2 s pass
    And the host with the most runs announces that it is draining
    And 1 s pass
    Then nothing runs on the draining host
    And all lasting tasks are running within 1 s
    And the run history has no violations

  @promise-long-work @promise-budget @failure-store-down
  Scenario: Losing the registry and the leader's lease ends no running task
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 6 lasting tasks is submitted, at most 2 tasks per host
    And 2 s pass
    And the registry and the leader's lease are lost, and hosts register again 2 s later
    And 6 s pass
    Then all lasting tasks are running within 1 s
    And every task has started exactly once
    And the run history has no violations

  @promise-long-work
  Scenario: Occurrences start when they are due, before newer work that can wait
    Given 3 entry hosts and 1 hosts for workflows
    When a workflow of 4 tasks of 500 ms is submitted that is due 3 times, every 2000 ms, starting in 3000 ms
    And 1 s pass
    Then nothing has started
    And it is "completed" within 9 s
    And every occurrence started at most 500 ms after it was due and not earlier
    And the run history has no violations

  @promise-long-work @failure-store-slow
  Scenario: A workflow whose record has been removed never runs again
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    When 139 s pass
    And every call to the store takes 1000 ms
    And 40 workflows are submitted, one every 250 ms
    And every call to the store takes 0 ms
    And 15 s pass
    Then every task has started at most once
    And the record of the first workflow has been removed
    And the run history has no violations

  @promise-long-work @failure-partition
  Scenario: A workflow counts as waiting until a host confirms the start of a task
    Given 3 entry hosts and 2 hosts for workflows
    When every host stops answering but keeps running
    And a workflow of 4 tasks of 500 ms is submitted
    And 2 s pass
    Then every entry host says that 1 workflow waits
    When every host answers again
    Then it is "completed" within 5 s
    And every entry host says that 0 workflows wait
    And the run history has no violations
