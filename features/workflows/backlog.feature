Feature: A backlog of waiting workflows costs the leader little
  In a burst beyond a pool's capacity hundreds of workflows wait while all hosts
  are full. The leader looks for room after every change, so what it does for
  each waiting task delays all of its orders.

  Scenario: 300 workflows of different sizes wait for 100 full hosts
    Given 100 hosts with less than 1000 thousandths of a processor free
    And 300 waiting steps of 8 tasks that need 1000 to 5000 thousandths each
    When the leader looks for room for all of them
    Then no task is placed
    And each host was considered at most 30 times

  Scenario: A small task is placed although larger ones found no room
    Given 100 hosts with less than 1000 thousandths of a processor free
    And 300 waiting steps of 8 tasks that need 1000 to 5000 thousandths each
    And one waiting step with a task that needs 1 thousandth
    When the leader looks for room for all of them
    Then 1 task is placed

  Scenario: A step that no host may run does not keep others from room
    Given 10 hosts with 16000 thousandths of a processor free
    And one waiting step with a task that needs 1000 thousandths and the label "gpu"
    And one waiting step with a task that needs 2000 thousandths
    When the leader looks for room for all of them
    Then 1 task is placed

  Scenario: A pass over a full pool ends once the room that became free is used
    Given a pool of 100 full hosts and 600 workflows that wait
    When room for 2 tasks becomes free and a pass runs
    Then 2 tasks are placed
    And at most 2 workflows were tried
    When room becomes free that is too small for any task and a pass runs
    Then 0 tasks are placed
    And at most 0 workflows were tried

  # Guards against a leader out of memory because of large workflows that were cancelled.
  Scenario: An ended workflow keeps no tasks in memory
    Given a workflow of 3 tasks that has been stored as "cancelled"
    When the leader reviews which workflows to delete
    Then the workflow is kept without its tasks
