Feature: Queues of one pool differ in priority
  Several queues send work to one pool, and those of priority 0 come first.

  Scenario: Waiting work is ordered by the priority of its queue
    Given waiting workflows "a" of priority 1 due in 1 s and "b" of priority 0 due in 9 s
    Then the order is "b a"

  Scenario: Work of one priority is ordered by its objective
    Given waiting workflows "a" of priority 1 due in 9 s and "b" of priority 1 due in 1 s
    Then the order is "b a"

  Scenario: Work that has no value left goes last, whatever its priority
    Given waiting workflows "a" of priority 1 due in 5 s and "b" of priority 0 due 60 s ago
    Then the order is "a b"

  Scenario: Long-running work goes before other work of its priority only
    Given waiting workflows "a" of priority 1 that last and "b" of priority 0 due in 9 s
    And "c" of priority 1 due in 1 s
    Then the order is "b a c"

  Scenario: Of two queues that fill a pool, the one of priority 0 starts first
    Given 2 entry hosts and 1 hosts for workflows
    And a queue of priority 0 and one of priority 1 for its pool
    When 8 workflows are submitted to the queue of priority 1
    And 2 workflows are submitted to the queue of priority 0
    Then those of priority 0 end before the last 4 of priority 1
    And the run history has no violations
