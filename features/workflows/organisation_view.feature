Feature: Operators see who waits for what
  Metrics by organisation have a bounded number of labels, and the log says who
  is held by a cap and why a submission was refused.

  Scenario: 30 organisations cause at most 11 time series of each metric
    Given 30 organisations of which number 29 waits longest and number 3 has most running
    When the metrics of the leader are read
    Then they name at most 11 organisations
    And they name number 29, number 3 and the sum of the others
    And no workflow is missing from the sums

  Scenario: An organisation held by its cap is logged once a second
    Given a log of caps
    When 2 organisations are held 100 times each within 500 ms
    Then 2 lines name an organisation with what it uses and its cap
    When 1000 ms pass
    And 2 organisations are held 100 times each within 500 ms
    Then 4 lines name an organisation with what it uses and its cap
