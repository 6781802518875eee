Feature: Maintenance waves and moves of machines that run workflows
  A wave finishes in time and within its limit, orders interrupt no more running
  tasks than their step allows, and a machine gets orders from one holder at a
  time.

  @promise-budget
  Scenario: A wave over busy machines finishes in time and keeps lasting tasks running
    Given 3 entry hosts, 6 hosts for workflows and 4 spare machines
    When a workflow of 6 lasting tasks is submitted, at most 2 tasks per host
    And a wave over all machines is declared with a duration of 30 s and at most 3 machines down
    Then the wave is completed within 30 s
    And at most 3 machines were down for the wave at any time
    And at most 1 lasting task was interrupted by orders at any time
    And all lasting tasks are running within 2 s
    And the run history has no violations

  @promise-budget @failure-crash
  Scenario: A new leader continues a wave
    Given 3 entry hosts, 6 hosts for workflows and 4 spare machines
    When a workflow of 6 lasting tasks is submitted, at most 2 tasks per host
    And a wave over all machines is declared with a duration of 40 s and at most 2 machines down
    And 8 s pass
    And the leader is killed
    Then the wave is completed within 40 s
    And at most 2 machines were down for the wave at any time
    And every machine was serviced exactly once
    And the run history has no violations

  @promise-budget @failure-lapsed-lease
  Scenario: A leader that pauses between the record of an order and the order itself does not send it
    Given 3 entry hosts, 6 hosts for workflows and 4 spare machines
    When the leader pauses for 3000 ms after it has recorded an order for a machine
    And a wave over all machines is declared with a duration of 40 s and at most 2 machines down
    Then the wave is completed within 40 s
    And the paused leader has sent no order
    And the run history has no violations

  @promise-budget
  Scenario: Spare machines join for a burst of work and are returned afterwards
    Given 3 entry hosts, 4 hosts for workflows and 6 spare machines
    When 6 s pass
    And 60 workflows of 6 tasks of 800 ms are submitted
    Then all are "completed" within 8 s
    And spare machines have joined the pool
    When 12 s pass
    Then at most 6 machines are in the pool
    And no run was lost with its host
    And the run history has no violations

  @promise-budget @failure-store-down
  Scenario: A leader that reads an empty registry gives no order for a machine that may run tasks
    Given 3 entry hosts, 4 hosts for workflows and 2 spare machines
    When a workflow of 6 lasting tasks is submitted, at most 2 tasks per host
    And 2 s pass
    And a wave over all machines is declared with a duration of 60 s and at most 3 machines down
    And the registry and the leader's lease are lost, and hosts register again 9 s later
    And 12 s pass
    Then no run was lost with its host
    And at most 1 lasting task was interrupted by orders at any time
    And the run history has no violations

  @promise-budget
  Scenario: A moved machine gets no task while the registry still lists its previous host incarnation
    Given 3 entry hosts, 8 hosts for workflows and 2 spare machines
    When 6 s pass
    And 60 workflows of 6 tasks of 800 ms are submitted
    Then all are "completed" within 10 s
    And no start order was sent to an ended host incarnation
    And the run history has no violations
