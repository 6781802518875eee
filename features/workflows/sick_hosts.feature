Feature: Hosts that are sick while their health check is good
  A host is judged by what becomes of its runs.

  @promise-long-work @failure-bad-worker
  Scenario: Runs that stand still on a host are started elsewhere
    Given 3 entry hosts and 4 hosts for workflows
    When one host lets all that it starts stand still
    And 20 workflows of 6 tasks of 800 ms are submitted
    Then all are "completed" within 8 s
    And the history of runs holds every promise

  @promise-long-work @failure-bad-worker
  Scenario: A host that fails all that it starts gets few tasks
    Given 3 entry hosts and 4 hosts for workflows
    When one host fails all that it starts
    And 120 submissions come, one every 50 ms
    Then all are "completed" within 8 s
    And at most 8 runs have failed
    And the history of runs holds every promise

  @promise-long-work @failure-impossible-job
  Scenario: Workflows that can never be done make no host sick
    Given a record of hosts
    When 2 workflows fail 5 times each on a host
    Then the host is "sound"
    When a third workflow fails there too
    Then the host is "sick"
    When 3 s pass on the record
    Then the host is "doubtful"
    When a run is done there
    Then the host is "sound"

  @failure-bad-worker
  Scenario: A slow host comes after the others, and is tried again later
    Given a record of hosts
    When 5 runs are done there in 6 times their expected time
    Then the host is "doubtful"
    When 6 s pass on the record
    Then the host is "sound"
