Feature: Runs that are given up
  A run is started elsewhere only once it certainly does not execute any more, and
  its end can no longer count.

  # Guards against runs that are given up by the clock of an earlier incarnation
  # of their host, although a later one has cut its lease to the longest allowed.
  @promise-long-work @failure-crash @failure-partition @failure-lost-answer
  Scenario Outline: The start of a task reaches a host that has just restarted, its answer <outcome>, and the host falls silent
    Given 3 entry hosts and 1 hosts for workflows
    When 20 s pass
    And the next start reaches a host that has just restarted and falls silent for <silence> s, and its answer <outcome>
    And a workflow of 1 tasks of 9000 ms is submitted
    And 1 s pass
    And another host starts
    Then it is "completed" within 30 s
    And the run history has no violations

    Examples:
      | silence | outcome |
      | 9       | arrives |
      | 9       | is lost |

    @known-red
    Examples:
      | silence | outcome                               |
      | 12      | is lost as it is carried out 2 s late |

  # Guards against runs that a new leader gives up by the usual lease, although a
  # restarted host has cut the one from its earlier clock to the longest allowed.
  @promise-long-work @failure-crash @failure-partition
  Scenario: The leader stops after a start that has reached a host that has just restarted, and the host falls silent
    Given 3 entry hosts and 1 hosts for workflows
    When 20 s pass
    And the leader stops right after the next start, which reaches a host that has just restarted
    And a workflow of 1 tasks of 9500 ms is submitted
    And 1500 ms pass
    And the host falls silent for 12 s
    And another host starts
    Then it is "completed" within 40 s
    And the run history has no violations

  # Guards against a host that is given up, and not used again, because another
  # one refuses an order at the address that it had before.
  @promise-long-work @failure-crash
  Scenario: An order to the earlier address of a host is refused after it has reported at another one
    Given 3 entry hosts and 1 hosts for workflows
    When the next start goes to the earlier address of a host that has just moved, where another one refuses it after 700 ms
    And a workflow of 2 tasks of 500 ms is submitted
    Then it is "completed" within 12 s
    And the run history has no violations

  # Guards against runs that are given up while they may execute, and against ends
  # that are acknowledged unstored, in an order of losses, starved leaders and
  # series of outages that no other scenario has.
  @promise-long-work @failure-crash @failure-partition @failure-store-down @failure-lost-answer
  Scenario: Random histories of lost hosts, starved leaders and store outages
    When 4 random histories of 16 losses and outages are played for each of the seeds 101, 112
    Then they have restarts, lapses and takeovers
    And no run was given up while it may execute, and each acknowledged end was stored
