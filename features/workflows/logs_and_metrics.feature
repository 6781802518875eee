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
    Then its metrics count the refusal once and the call below 10 ms
    And no line of the metrics contains the request id
