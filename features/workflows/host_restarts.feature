Feature: Hosts that start again under their ids
  A host that starts again knows nothing of before: its clock, the numbers of its
  ends and what runs on it start anew. What was learned of it before must not be
  applied to it.

  # Guards against ends of a restarted host that count as confirmed because the
  # store confirms ends with the same numbers from before the restart.
  @promise-long-work @failure-crash @failure-store-slow
  Scenario: A host restarts while ends of its earlier runs are being stored
    Given 3 entry hosts and 2 hosts for workflows
    When 10 workflows of 6 tasks are submitted
    Then all are "completed" within 12 s
    When a workflow of 8 tasks of 1000 ms is submitted
    And a workflow of 6 tasks of 4000 ms is submitted
    And 900 ms pass
    And every call to the store takes 800 ms
    And 150 ms pass
    And the host with the most runs crashes and is back under its id after 200 ms
    And 1 s pass
    And every call to the store takes 0 ms
    Then all are "completed" within 12 s
    And the run history has no violations

  # Guards against a restart that goes unnoticed because the host tells the birth
  # that it had before, or none: its ends are then dropped as duplicates.
  @promise-long-work @failure-crash @failure-store-down
  Scenario Outline: A host restarts with <birth> birth while the store is down
    Given 3 entry hosts and 2 hosts for workflows
    When 10 workflows of 6 tasks are submitted
    Then all are "completed" within 12 s
    When a workflow of 8 tasks of 1000 ms is submitted
    And a workflow of 6 tasks of 4000 ms is submitted
    And 900 ms pass
    And every call to the store takes 800 ms
    And 150 ms pass
    And the host with the most runs crashes and is back after 200 ms with <birth> birth
    And 1 s pass
    And every call to the store takes 0 ms
    Then all are "completed" within 12 s
    And the run history has no violations

    Examples:
      | birth    |
      | the same |
      | no       |

  # Guards against ends that a restarted host forgets unread because they are
  # acknowledged by the numbers of its earlier ends.
  @promise-long-work @failure-crash @failure-lost-answer
  Scenario: A host restarts while the answer to an acknowledgement is lost
    Given 3 entry hosts and 1 hosts for workflows
    When 10 workflows of 6 tasks are submitted
    Then all are "completed" within 12 s
    When a workflow of 3 tasks of 300 ms is submitted
    And 250 ms pass
    And 100 of 100 hold calls to hosts are not answered
    And 150 ms pass
    And 100 of 100 orders to hosts are carried out 600 ms late without an answer
    And late orders reach a host that has restarted meanwhile
    And a workflow of 1 tasks of 50 ms is submitted
    And 50 ms pass
    And the host with the most runs crashes and is back under its id after 100 ms
    And 400 ms pass
    And 0 of 100 hold calls to hosts are not answered
    And 0 of 100 orders to hosts are carried out 0 ms late without an answer
    Then all are "completed" within 6 s
    And the run history has no violations

  # Guards against ends of a restarted host that are acknowledged unread: it has
  # run a task before the next report, and no hold call has failed.
  @promise-long-work @failure-crash @failure-store-slow @failure-lost-answer
  Scenario Outline: A host restarts between two reports, and the answer to its first start <outcome>
    Given 3 entry hosts and 1 hosts for workflows
    When 10 workflows of 6 tasks are submitted
    Then all are "completed" within 12 s
    When a workflow of 1 tasks of 1550 ms is submitted
    And 50 ms pass
    And every call to the store takes 300 ms
    And the host restarts at once, with an earlier birth, just before the first start after its next end, whose answer <outcome>
    And a workflow of 1 tasks of 20 ms is submitted
    And a workflow of 1 tasks of 20 ms is submitted
    And a workflow of 1 tasks of 20 ms is submitted
    And a workflow of 1 tasks of 20 ms is submitted
    And 2 s pass
    And every call to the store takes 0 ms
    Then all are "completed" within 12 s
    And the run history has no violations

    Examples:
      | outcome |
      | arrives |
      | is lost |

  # Guards against tasks that wait for a lease on the clock of an earlier
  # incarnation of their host.
  @promise-long-work @failure-crash
  Scenario: A host that was up for long restarts, gets tasks and is lost
    Given 3 entry hosts and 2 hosts for workflows
    When 120 s pass
    And a workflow of 20 tasks of 1000 ms is submitted
    And 500 ms pass
    And the host with the most runs crashes and is back under its id after 200 ms
    Then all are "completed" within 12 s
    When 12 s pass
    And a workflow of 20 tasks of 3000 ms is submitted
    And 1 s pass
    And the host that has restarted stops answering but keeps running
    Then all are "completed" within 16 s
    And the run history has no violations

  # Guards against calls to the address that a restarted host had before.
  @promise-long-work @failure-crash
  Scenario: All hosts restart at other addresses
    Given 3 entry hosts and 2 hosts for workflows
    When a workflow of 20 tasks of 3000 ms is submitted
    And 1 s pass
    And every host crashes and is back at another address after 500 ms
    And 1 s pass
    And a workflow of 6 tasks of 500 ms is submitted
    Then all are "completed" within 14 s
    And the run history has no violations

  # Guards against a task that is given up for the crash of a host on which it was
  # started only after the crash.
  @promise-long-work @failure-crash @failure-lost-answer
  Scenario: The start of a task reaches a host that has just restarted
    Given 3 entry hosts and 1 hosts for workflows
    When a workflow of 1 tasks of 3000 ms is submitted
    And 50 ms pass
    And the host with the most runs crashes and is back under its id after 30 ms
    And it crashes just before the next start, no longer answers and is back after 900 ms
    And 100 of 100 hold calls to hosts are not answered
    And 250 ms pass
    And 0 of 100 hold calls to hosts are not answered
    Then it is "completed" within 8 s
    And the run history has no violations

  # Guards against a task that starts again after its end was acknowledged: an
  # earlier copy of its order, without an answer, reaches the next incarnation.
  @promise-long-work @failure-crash @failure-lost-answer
  Scenario: A host restarts before a start order without an answer is carried out
    Given 3 entry hosts and 1 hosts for workflows
    When 100 of 100 orders to hosts are carried out 5000 ms late without an answer
    And late orders reach a host that has restarted meanwhile
    And a workflow of 1 tasks of 300 ms is submitted
    And 500 ms pass
    And 0 of 100 orders to hosts are carried out 0 ms late without an answer
    Then all are "completed" within 3 s
    When the host with the most runs crashes and is back under its id after 200 ms
    And 6 s pass
    Then the run history has no violations

  # Guards against a restart that goes unnoticed because the host has no tasks and
  # its new entry doesn't tell: an order without an answer is then carried out.
  @promise-long-work @failure-crash @failure-lost-answer
  Scenario: A host without tasks restarts with the same birth before a start order without an answer is carried out
    Given 3 entry hosts and 1 hosts for workflows
    When 100 of 100 orders to hosts are carried out 5000 ms late without an answer
    And late orders reach a host that has restarted meanwhile
    And a workflow of 1 tasks of 300 ms is submitted
    And 500 ms pass
    And 0 of 100 orders to hosts are carried out 0 ms late without an answer
    Then all are "completed" within 3 s
    When the host with the most runs crashes and is back after 200 ms with the same birth
    And 6 s pass
    Then the run history has no violations

  # Guards against a task that runs on after its cancellation: the stop was answered
  # by the earlier incarnation, and the next one has started the run again.
  @promise-long-work @failure-crash @failure-lost-answer
  Scenario: A host restarts after a stop, before a start order without an answer is carried out
    Given 3 entry hosts and 1 hosts for workflows
    When a task is cancelled whose first start order is still to be carried out, and its host restarts before that
    And 4 s pass
    Then nothing runs on the host

  # Guards against two runs of a task at a time: one that was placed after a
  # restart, and one of an earlier order that got no answer.
  @promise-long-work @failure-crash @failure-lost-answer
  Scenario: A host restarts, and start orders without an answer are carried out beside the next runs
    Given 3 entry hosts and 2 hosts for workflows
    When 100 of 100 orders to hosts are carried out 5000 ms late without an answer
    And late orders reach a host that has restarted meanwhile
    And a workflow of 20 tasks of 4000 ms is submitted
    And 500 ms pass
    And 0 of 100 orders to hosts are carried out 0 ms late without an answer
    And 1 s pass
    And the host with the most runs crashes and is back under its id after 200 ms
    Then all are "completed" within 8 s
    And the run history has no violations

  # Guards against a task that is started elsewhere while it still runs: an order
  # without an answer has extended the lease on the next incarnation.
  @promise-long-work @failure-crash @failure-lost-answer
  Scenario: A start order without an answer reaches a host that has restarted and is lost
    Given 3 entry hosts and 2 hosts for workflows
    When 20 s pass
    And 100 of 100 orders to hosts are carried out 10000 ms late without an answer
    And late orders reach a host that has restarted meanwhile
    And a workflow of 20 tasks of 300 ms is submitted
    And 500 ms pass
    And 0 of 100 orders to hosts are carried out 0 ms late without an answer
    Then all are "completed" within 3 s
    When the host with the most runs crashes and is back under its id after 200 ms
    And a workflow of 16 tasks of 4000 ms is submitted
    And a workflow of 8 tasks of 15000 ms is submitted
    And 3 s pass
    And the host that has restarted stops answering but keeps running
    Then all are "completed" within 60 s
    And the run history has no violations

  # Guards against ends that are lost, or followed by another start, in an order
  # of restarts, outages and takeovers that no other scenario has.
  @promise-long-work @failure-crash @failure-store-down @failure-lost-answer
  Scenario: Random histories of hosts that restart under their ids
    When 10 random histories of 20 restarts and other faults are played for each of the seeds 6, 18, 23, 103
    Then they have restarts, takeovers and outages
    And no end was ignored and no accepted workflow is left unfinished
