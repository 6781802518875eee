Feature: Unhealthy hosts whose health check succeeds
  The health of a host is judged by the ends of its runs.

  @promise-long-work @failure-bad-worker
  Scenario: Stalled runs are restarted on another host
    Given 3 entry hosts and 4 hosts for workflows
    When every run on one host stalls
    And 20 workflows of 6 tasks of 800 ms are submitted
    Then all are "completed" within 8 s
    And the run history has no violations

  @promise-long-work @failure-bad-worker
  Scenario: A host on which every run fails gets few tasks
    Given 3 entry hosts and 4 hosts for workflows
    When every run on one host fails
    And 120 workflows are submitted, one every 50 ms
    Then all are "completed" within 8 s
    And at most 8 runs have failed
    And the run history has no violations

  @promise-long-work @failure-impossible-job
  Scenario: Workflows that always fail do not make a host unhealthy
    Given an empty record of host health
    When 2 workflows fail 5 times each on a host
    Then the host is "sound"
    When a third workflow fails there too
    Then the host is "sick"
    When 3 s pass for the health record
    Then the host is "doubtful"
    When a run succeeds there
    Then the host is "sound"

  # Guards against callers that are told to come back in hours because no host
  # answers for a moment.
  @promise-not-run @failure-partition
  Scenario: A pool whose hosts are all silent for a moment keeps its drain time
    Given 3 entry hosts and 2 hosts for workflows
    When a workflow of 32 tasks of 2000 ms is submitted
    And every host stops answering but keeps running
    And 3 s pass
    Then the leader reports a drain time of 10 s at most
