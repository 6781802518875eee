Feature: Each organisation is refused for its own backlog only
  The leader publishes the load of each organisation, and entry hosts refuse from
  it at once, with the time after which to come back.

  Scenario: The small caller is accepted while the large one is refused
    Given a pool that is busy for 20000 ms, "large" for 20000 ms and "small" for 500 ms
    When "large" and "small" submit a workflow that must start within 5600 ms
    Then "large" is refused for its "backlog" and told to come back after 14400 ms
    And "small" is accepted

  Scenario: Work beyond the rate is refused while the pool is busy, and only then
    Given a pool that is busy for 4000 ms, "large" for 3000 ms and "small" for 500 ms
    And "large" is beyond its rate for 700 ms
    When "large" and "small" submit a workflow that must start within 5600 ms
    Then "large" is refused for its "rate" and told to come back after 700 ms
    And "small" is accepted
    When the report is 800 ms old
    Then "large" is accepted

  Scenario: A report of a leader of the previous version counts for all callers
    Given a pool that is busy for 20000 ms, in a report without organisations
    When "large" and "small" submit a workflow that must start within 5600 ms
    Then "large" is refused for its "pool" and told to come back after 14400 ms
    And "small" is refused for its "pool" and told to come back after 14400 ms

  Scenario: Nobody is refused from the report of a leader that is gone
    Given a pool that is busy for 20000 ms, "large" for 20000 ms and "small" for 500 ms
    When the report is 7000 ms old
    And "large" and "small" submit a workflow that must start within 5600 ms
    Then "large" is accepted
    And "small" is accepted

  Scenario: In random backlogs each drains within its share, whatever the others have
    When the drain times of 300 random backlogs are computed with seed 31
    Then each organisation is done by the time that its share alone takes
    And the last is done when the pool is
    And more work of one organisation never delays another beyond its share

  Scenario: All connections of a caller end at one entry host
    Given 3 entry hosts and 1 hosts for workflows
    And organisations "large" and "small" that are owed 10 submissions a second
    When "large" submits 120 workflows of 4 tasks of 1000 ms at one entry host
    And 1 s pass
    Then a workflow of "large" is refused at every entry host
    And a workflow of "small" is accepted at every entry host
    And the load report has less than 1000 characters

  @failure-crash
  Scenario: A new leader replaces the report of the last one
    Given 3 entry hosts and 1 hosts for workflows
    And organisations "large" and "small" that are owed 10 submissions a second
    And an earlier leader has reported a pool that is busy for 60000 ms
    When the leader is killed
    And 3 s pass
    Then a workflow of "large" is accepted at every entry host

  Scenario: A caller's work beyond its rate waits behind that of others
    Given 3 entry hosts and 1 hosts for workflows
    And organisations "large" and "small" that are owed 1 submissions a second
    When "large" submits 24 workflows of 4 tasks of 1000 ms at one entry host
    And "small" submits a workflow of 4 tasks of 1000 ms
    Then it is "completed" within 3 s
