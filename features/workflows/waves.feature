Feature: Waves and moves of the machines below workflows
  A wave ends in time under its limit, no task at work is ended beyond what its
  step allows, and a machine has one holder of orders at a time.

  @promise-budget
  Scenario: A wave over busy machines ends in time, and lasting tasks stay at work
    Given 3 entry hosts, 6 hosts for workflows and 4 spare machines
    When a lasting workflow of 6 tasks is submitted, at most 2 on a host
    And a wave over all machines is declared for 30 s with at most 3 down
    Then the wave is completed within 30 s
    And never more than 3 machines were down for it
    And never more than 1 lasting task was away through orders
    And all its tasks are at work within 2 s
    And the history of runs holds every promise

  @promise-budget @failure-crash
  Scenario: Another leader goes on with a wave
    Given 3 entry hosts, 6 hosts for workflows and 4 spare machines
    When a lasting workflow of 6 tasks is submitted, at most 2 on a host
    And a wave over all machines is declared for 40 s with at most 2 down
    And 8 s pass
    And the leader is killed
    Then the wave is completed within 40 s
    And never more than 2 machines were down for it
    And every machine had its upkeep once
    And the history of runs holds every promise

  @promise-budget
  Scenario: A burst gets spare machines, which go back when it is over
    Given 3 entry hosts, 4 hosts for workflows and 6 spare machines
    When 6 s pass
    And 60 workflows of 6 tasks of 800 ms are submitted
    Then all are "completed" within 8 s
    And machines of the spare pool have joined
    When 12 s pass
    Then at most 6 machines are in use
    And no run was ended by a move
    And the history of runs holds every promise

  @promise-budget @failure-store-down
  Scenario: A leader that finds the registry empty orders no machine that may run a task
    Given 3 entry hosts, 4 hosts for workflows and 2 spare machines
    When a lasting workflow of 6 tasks is submitted, at most 2 on a host
    And 2 s pass
    And a wave over all machines is declared for 60 s with at most 3 down
    And the registry and the leader's lease are lost, and hosts register again 9 s later
    And 12 s pass
    Then no run was ended by a move
    And never more than 1 lasting task was away through orders
    And the history of runs holds every promise

  @promise-budget
  Scenario: A machine that was moved away gets no task while the registry still lists its old life
    Given 3 entry hosts, 8 hosts for workflows and 2 spare machines
    When 6 s pass
    And 60 workflows of 6 tasks of 800 ms are submitted
    Then all are "completed" within 10 s
    And no start was ordered on a life that had ended
    And the history of runs holds every promise
