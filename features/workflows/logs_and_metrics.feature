Feature: Log output is bounded and never blocks, and metrics contain no ids
  Scenario: If the log's reader stops, lines are dropped without blocking
    Given a log whose reader has stopped
    When 20000 lines are written to it
    Then it buffers at most 262144 characters
    When the reader reads everything in the buffer
    And 1 line is written to it
    Then the number of dropped lines is logged

  Scenario: Above the log budget, warnings, refusals and the load of pools are dropped last
    Given a log whose reader reads everything
    When 20000 lines are written to it
    And a warning, a refusal and the load of a pool are written to it
    Then at most 70000 characters were written before the warning
    And the warning, the refusal and the load of the pool were written

  Scenario: Metrics count decisions and measure calls
    Given an entry host with metrics
    When it logs a refusal and an answered call of 7 ms
    And it starts a task again because of "lease expired"
    Then its metrics count the refusal once and the call below 10 ms
    And its metrics count one start again because of "lease expired"
    And no line of the metrics contains the request id

  # Guards against a process that ends by itself without a line that says why.
  Scenario: An error that no caller handles leaves one line and is counted
    Given an entry host with metrics
    When an error of its "leader" with a stack of 100000 characters is reported
    Then its log has one line "unexpected error" of at most 4000 characters with the activity and the cause
    And its metrics count one unexpected error of the "leader"
    And its metrics have the start time and the memory of the process

  # Guards against a record of warnings that can't tell why a task that had run
  # was started again: given up for its lease.
  Scenario: A task is started again because a lease has expired, and both runs end as done
    Given a log of the warnings
    And 3 entry hosts and 2 hosts for workflows
    Then a warning "took over" tells
      | workflows | 0 |
      | hosts     | 2 |
    When a workflow of 20 tasks of 3000 ms is submitted
    And 1 s pass
    And the host with the most runs stops answering but keeps running
    Then it is "completed" within 25 s
    And a warning "run started again" tells
      | cause           | lease expired |
      | run             | 2             |
      | earlierRun      | 1             |
      | adopted         | false         |
      | listed          | true          |
      | acceptedEnd     | 0             |
      | acknowledgedEnd | 0             |
      | namedEnd        | 0             |
    And these warnings name starts that have happened and births of their hosts
    And the leader has counted them by cause
    When every host answers again
    And 2 s pass
    Then a warning "done again" tells
      | run     | 1             |
      | doneRun | 2             |
      | cause   | lease expired |

  # Guards against the same: a run that ends while its host is given up.
  Scenario: An end as done arrives after its run was given up
    Given a log of the warnings
    And 3 entry hosts and 2 hosts for workflows
    When a workflow of 20 tasks of 3000 ms is submitted
    And 1 s pass
    And the host with the most runs stops answering but keeps running
    And 8 s pass
    And every host answers again
    And 1 s pass
    Then a warning "late end" tells
      | run        | 1             |
      | lastRun    | 2             |
      | how        | done          |
      | phase      | placed        |
      | earlierRun | 1             |
      | cause      | lease expired |

  # Guards against the same: a run that a host has lost, or whose end was
  # acknowledged to another incarnation of the host.
  Scenario: A task is started again because its host has restarted without it
    Given a log of the warnings
    And 3 entry hosts and 1 hosts for workflows
    When 2 workflows of 6 tasks are submitted
    Then all are "completed" within 6 s
    When a workflow of 10 tasks of 3000 ms is submitted
    And a workflow of 1 tasks of 200 ms is submitted
    And 1 s pass
    And the host with the most runs crashes and is back under its id after 200 ms
    And 3 s pass
    Then a warning "run started again" tells
      | cause                 | missing from the report of its host |
      | run                   | 2                                   |
      | earlierRun            | 1                                   |
      | acceptedEnd           | 13                                  |
      | acknowledgedEnd       | 13                                  |
      | latestAcceptedEnd     | 0                                   |
      | latestAcknowledgedEnd | 0                                   |
      | namedEnd              | 13                                  |
    And these warnings name starts that have happened and births of their hosts
    And the leader has counted them by cause

  # Guards against the same: the next leader knows only that there was a run.
  Scenario: A task is started again that an earlier leader had started
    Given a log of the warnings
    And 3 entry hosts and 1 hosts for workflows
    When a workflow of 4 tasks of 30000 ms is submitted
    And 1 s pass
    And the host with the most runs stops answering but keeps running
    And 9 s pass
    And the leader is killed
    And 4 s pass
    And every host answers again
    And 4 s pass
    Then a warning "took over" tells
      | workflows    | 1 |
      | startedTasks | 4 |
      | placedTasks  | 0 |
      | hosts        | 1 |
    And a warning "run started again" tells
      | cause      | not placed when the term began |
      | run        | 2                              |
      | earlierRun | 1                              |

  # Guards against warnings that cost the leader its time when many runs are lost.
  Scenario: Thousands of tasks are started again at once, twice
    Given a log of the warnings
    And 3 entry hosts and 1 hosts for workflows
    When a workflow of 3000 small tasks of 60000 ms is submitted
    And 4 s pass
    And the host with the most runs stops answering but keeps running
    And 9 s pass
    And every host answers again
    And 4 s pass
    And the host with the most runs stops answering but keeps running
    And 9 s pass
    And every host answers again
    And 4 s pass
    Then 6000 tasks were started again
    And each second has at most 10 warnings "run started again"
    And each second has at most 10 warnings "late end"
    And these warnings and those that they count as left out are at least 3000 starts
