Feature: Workflows of tasks run to their end through failures
  An accepted workflow is kept and completes, no task has two runs at once or
  runs again after its acknowledged end, and refusals are true.

  @promise-long-work
  Scenario: A step starts once all tasks of the step before are done
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 6 tasks followed by 3 tasks is submitted
    Then it is "completed" within 3 s
    And the history of runs holds every promise

  @promise-long-work @failure-crash
  Scenario: The leader dies while tasks run, and its successor adopts them
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 4000 ms is submitted
    And 1 s pass
    And the leader is killed
    Then it is "completed" within 8 s
    And every task has started once
    And the history of runs holds every promise

  @promise-long-work @failure-crash
  Scenario: All entry hosts die right after an acceptance
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 1500 ms is submitted
    And every entry host is killed
    And 2 s pass
    And 3 new entry hosts start
    Then it is "completed" within 12 s
    And the history of runs holds every promise

  @promise-long-work @failure-crash
  Scenario: A host falls silent, and its tasks run elsewhere only after its lease
    Given 3 entry hosts and 2 hosts for workflows
    When a workflow of 20 tasks of 3000 ms is submitted
    And 1 s pass
    And the host with the most runs falls silent but keeps running
    Then it is "completed" within 25 s
    And the history of runs holds every promise

  @promise-long-work @failure-crash
  Scenario: A host restarts, and its tasks run again at once
    Given 3 entry hosts and 2 hosts for workflows
    When a workflow of 20 tasks of 3000 ms is submitted
    And 1 s pass
    And the host with the most runs restarts
    Then it is "completed" within 9 s
    And the history of runs holds every promise

  @promise-not-run @failure-store-down
  Scenario: Nothing is accepted while the store is away, and what runs goes on
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 3000 ms is submitted
    And 500 ms pass
    And the store is away from every entry host
    Then a submission is "unavailable" and never runs
    When 5 s pass
    And the store is back
    Then it is "completed" within 4 s
    And every task has started once
    And the history of runs holds every promise

  @promise-not-run @failure-lost-answer
  Scenario: A submission whose answer was lost is one workflow when it comes again
    Given 3 entry hosts and 4 hosts for workflows
    When answers of the store to writes are lost
    Then a submission is "unknown"
    When the store's answers arrive again
    And the same submission comes again at another entry host
    Then it is "completed" within 4 s
    And every task has started once
    And the history of runs holds every promise

  @promise-long-work @failure-partition
  Scenario: The leader is cut off from the store and another takes over
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 6000 ms is submitted
    And 1 s pass
    And the leader is cut off from the store
    Then another entry host leads within 2 s
    And it is "completed" within 9 s
    And every task has started once
    And the history of runs holds every promise

  @promise-long-work @failure-store-slow @failure-lost-answer
  Scenario: A slow store that loses a third of its answers costs the leader no term
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 6000 ms is submitted
    And every call to the store takes 400 ms
    And 35 of 100 answers of the store are lost
    And 15 s pass
    Then the leader is the one of the start
    And the history of runs holds every promise

  @promise-not-run @failure-lost-answer
  Scenario: A third of the store's answers to writes never come, and work goes on
    Given 3 entry hosts and 4 hosts for workflows
    When 35 of 100 answers of the store are lost, noticed after 1500 ms
    And 30 submissions come, one every 50 ms
    Then nine of ten were accepted, and no outcome was false
    And all are "completed" within 1 s
    And nine of ten tasks have started within 1500 ms of their submission
    And every task has started once
    And the history of runs holds every promise

  @promise-long-work @failure-lost-answer
  Scenario: Orders are carried out seconds late, around cancellations
    Given 3 entry hosts and 4 hosts for workflows
    When 40 of 100 orders to hosts are carried out 3000 ms late without an answer
    And 12 workflows of 3 tasks of 2000 ms are submitted
    And 6 of them are cancelled after 300 ms
    And 15 s pass
    Then those that were not cancelled are "completed"
    And nothing of the cancelled ones runs
    And the history of runs holds every promise

  @promise-long-work @failure-lost-answer
  Scenario: A host that loses single orders and answers others goes on getting tasks
    Given 3 entry hosts and 4 hosts for workflows
    When 10 of 100 orders to hosts are carried out 3000 ms late without an answer
    And 60 workflows of 6 tasks of 500 ms are submitted
    Then all are "completed" within 6 s
    And the history of runs holds every promise

  @promise-long-work @failure-lost-answer
  Scenario: Lost answers to holds hide the ends of runs for a short time only
    Given 3 entry hosts and 4 hosts for workflows
    When 40 of 100 holds of hosts are not answered
    And 10 workflows of 3 tasks followed by 3 tasks are submitted
    Then all are "completed" within 2 s
    And the history of runs holds every promise

  @promise-long-work @failure-impossible-job
  Scenario: A workflow whose tasks always fail ends as failed within its attempts
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow whose tasks fail 9 times is submitted
    Then it is "failed" within 6 s
    And the history of runs holds every promise

  @promise-long-work @failure-bad-worker
  Scenario: A task that fails on one host runs on another
    Given 3 entry hosts and 4 hosts for workflows
    When one host fails all that it starts
    And 10 workflows of 6 tasks are submitted
    Then all are "completed" within 12 s
    And the history of runs holds every promise

  @promise-long-work @failure-crash
  Scenario: A host dies after a takeover, and its lasting tasks are soon back
    Given 3 entry hosts and 4 hosts for workflows
    When a lasting workflow of 6 tasks is submitted, at most 2 on a host
    And 2 s pass
    And the leader is killed
    And 4 s pass
    And the host with the most runs dies without a word
    Then all its tasks are at work within 8 s
    And the history of runs holds every promise

  @promise-long-work @failure-crash
  Scenario: A host dies, then the leader, and its lasting tasks are back when no lease can last
    Given 3 entry hosts and 4 hosts for workflows
    When a lasting workflow of 6 tasks is submitted, at most 2 on a host
    And 2 s pass
    And the host with the most runs dies without a word
    And 2 s pass
    And the leader is killed
    Then all its tasks are at work within 13 s
    And the history of runs holds every promise

  @promise-long-work
  Scenario: Lasting tasks leave a host before it does
    Given 3 entry hosts and 4 hosts for workflows
    When a lasting workflow of 6 tasks is submitted, at most 2 on a host
    And 2 s pass
    And the host with the most runs announces that it leaves
    And 1 s pass
    Then nothing runs on the host that leaves
    And all its tasks are at work within 1 s
    And the history of runs holds every promise

  @promise-long-work @promise-budget @failure-store-down
  Scenario: The registry and the leader's lease lapse with the store, and nothing at work is ended
    Given 3 entry hosts and 4 hosts for workflows
    When a lasting workflow of 6 tasks is submitted, at most 2 on a host
    And 2 s pass
    And the registry and the leader's lease are lost, and hosts register again 2 s later
    And 6 s pass
    Then all its tasks are at work within 1 s
    And every task has started once
    And the history of runs holds every promise

  @promise-long-work
  Scenario: Occurrences start when they are due, before younger work that can wait
    Given 3 entry hosts and 1 hosts for workflows
    When a workflow of 4 tasks of 500 ms is submitted that is due 3 times, every 2000 ms from 3000 ms on
    And 1 s pass
    Then nothing has started
    And it is "completed" within 9 s
    And no occurrence started before it was due or over 500 ms after
    And the history of runs holds every promise

  @promise-long-work @failure-store-slow
  Scenario: A workflow that is no longer kept never runs again
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    When 139 s pass
    And every call to the store takes 1000 ms
    And 40 submissions come, one every 250 ms
    And every call to the store takes 0 ms
    And 15 s pass
    Then every task has started at most once
    And the first workflow is no longer kept
    And the history of runs holds every promise

  @promise-long-work @failure-partition
  Scenario: A workflow is said to wait until a host has confirmed the start of a task
    Given 3 entry hosts and 2 hosts for workflows
    When every host falls silent but keeps running
    And a workflow of 4 tasks of 500 ms is submitted
    And 2 s pass
    Then every entry host says that 1 workflow waits
    When every host answers again
    Then it is "completed" within 5 s
    And every entry host says that 0 workflows wait
    And the history of runs holds every promise
