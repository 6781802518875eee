Feature: Tasks of a service that may be away at once
  A step may limit how many of its tasks are away by orders at the same time. The
  limit holds from the point of view of the hosts, whoever gives the orders.

  # Guards against a stop for a host that leaves that is carried out before one
  # for upkeep which was allowed earlier, so that this one exceeds the limit.
  @promise-budget
  Scenario: A host leaves while a task of the same step is still being stopped for upkeep
    Given 3 entry hosts, 8 hosts for workflows and 0 spare machines
    And a service of 6 tasks, one a host, of which 1 may be away
    When a wave over the host of one of its tasks is declared, which takes 400 ms to stop it
    And the host of another one, which takes 50 ms, announces that it leaves as soon as the stop is ordered
    And 8 s pass
    Then the wave is completed within 10 s
    And nothing runs on the leaving host
    And all tasks of the service are running
    And the run history has no violations

  # Guards against a new leader that counts a task as serving while a stop that
  # the one before it has ordered is still being carried out.
  @promise-budget @failure-crash
  Scenario: A host leaves as a leader is killed whose stop of a task of the same step is still to come
    Given 3 entry hosts, 8 hosts for workflows and 0 spare machines
    And a service of 6 tasks, one a host, of which 1 may be away
    When a wave over the host of one of its tasks is declared, which takes 400 ms to stop it
    And the leader is killed as it orders that stop, which arrives just before the first call of the next leader
    And the host of another one, which takes 50 ms, announces that it leaves as soon as the stop is ordered
    And 12 s pass
    Then the wave is completed within 10 s
    And nothing runs on the leaving host
    And all tasks of the service are running
    And the run history has no violations

  # Guards against a stop without an answer that is sent again although others of
  # its step have gone meanwhile.
  @promise-budget @failure-lost-answer
  Scenario: A host leaves while the stop of a task of the same step is lost again and again
    Given 3 entry hosts, 8 hosts for workflows and 0 spare machines
    And a service of 6 tasks, one a host, of which 1 may be away
    When a wave over the host of one of its tasks is declared, which takes 400 ms to stop it
    And the orders to stop it are lost for 1200 ms
    And the host of another one, which takes 50 ms, announces that it leaves as soon as the stop is ordered
    And 12 s pass
    Then the wave is completed within 10 s
    And nothing runs on the leaving host
    And all tasks of the service are running
    And the run history has no violations

  # Guards against stops that exceed the limit in an order of waves, leaving
  # hosts, lost and late orders and leaders that no other scenario has.
  @promise-budget @failure-crash @failure-partition @failure-lost-answer
  Scenario: Random histories of waves, leaving hosts, lost orders and leaders
    When 6 random histories of 24 waves and losses are played for each of the seeds 6, 13, 19, 30, 49, 57
    Then they have stops, leaving hosts, upkeeps and takeovers
    And no order has exceeded the limit of a step
