Feature: Callers of a short outage of the store are served after it
  While the store is unavailable, submissions are refused. Callers give up after
  a few attempts, so how soon they are asked to come back decides whether they
  outlast the outage.

  Scenario Outline: The suggested delay grows with the outage
    When the store has been unavailable for <outage> ms
    Then callers are asked to come back after <delay> ms

    Examples:
      | outage | delay |
      | 5      | 1000  |
      | 1100   | 1100  |
      | 3300   | 3300  |
      | 60000  | 4000  |

  @promise-not-run @failure-store-down
  Scenario Outline: A caller with five attempts outlasts an outage
    Given 3 entry hosts and 4 hosts for workflows
    When the store is unreachable from every entry host
    And 1 s pass
    And a caller submits a workflow, with 4 more attempts when it is asked to come back
    And the store is reachable again after <outage> ms
    Then the workflow of the caller is completed
    And the run history has no violations

    Examples:
      | outage |
      | 2500   |
      | 5300   |
      | 9000   |
