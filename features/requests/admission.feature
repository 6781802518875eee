Feature: Admission and ordering of interactive requests
  A request that cannot start in time is refused immediately.

  Background:
    Given an entry host that uses a small pool alone

  Scenario: Requests that cannot start in time are refused immediately and the others are answered in time
    When 200 requests of 100 ms with a deadline of 250 ms are sent at once
    Then every answered request was answered within 250 ms
    And at least 64 of them were answered
    And the others were refused within 20 ms as not run, with a retry delay

  Scenario: No request is kept waiting beyond its deadline
    When 100 requests of 400 ms with a deadline of 600 ms are sent at once
    Then no request ended later than 650 ms

  Scenario: A team cannot starve another team
    When team "north" overloads the pool while team "south" sends few requests
    Then every request of team "south" was answered

  Scenario: Requests of high rank start first and requests of low rank get a minimum share
    When 200 requests of high and 200 of low rank are queued and 100 are started
    Then 10 of the started requests are of low rank

  Scenario: Random queues return every request once, ordered by deadline within a rank and team
    When 200 random queues are drained
    Then each queue returned every request once, ordered by deadline within a rank and team
