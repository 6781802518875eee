Feature: Hosts and racks that run everything slowly
  A host's runs are compared with those of the same image elsewhere, in progress
  and at their ends; tasks differ by a third among themselves.

  @failure-bad-worker
  Scenario: A slow host is used after the others and is tried again later
    Given an empty record of host speeds
    When 5 runs end on a host in 6.0 times their usual time
    Then the host is slow
    When 6 s pass for the speed record
    Then the host is not slow

  @failure-bad-worker
  Scenario: Runs in progress show a slow host before any of them ends
    Given an empty record of host speeds
    When 4 runs are in progress on a host at 3.0 times their usual time
    Then the host is slow

  Scenario: One long task does not make a host slow
    Given an empty record of host speeds
    When 1 runs are in progress on a host at 3.0 times their usual time
    Then the host is not slow

  Scenario: Sound hosts whose tasks differ are hardly ever taken for slow
    Given an empty record of host speeds
    When 200 hosts run tasks that differ by a third for 20 s
    Then at most 1 of 100 judgements was wrong

  Scenario: Real work at the usual speed restores trust
    Given an empty record of host speeds
    When 4 runs end on a host in 3.0 times their usual time
    Then the host is slow
    When 4 runs end on a host in 1.0 times their usual time
    Then the host is not slow

  Scenario: A slow rack is slow as a whole
    Given an empty record of host speeds
    When 3 of 3 busy hosts on a rack are slow
    Then an idle host on that rack is slow
    And a host on another rack is not slow

  Scenario: A single slow host says nothing of its rack
    Given an empty record of host speeds
    When 1 of 3 busy hosts on a rack are slow
    Then an idle host on that rack is not slow

  Scenario: A run moves only if it gains by it
    Given a checkpointed run at 40 percent after 2000 ms on a host
    Then at a slowness of 5.0 it gains between 800 and 1000 ms by a move
    And at a slowness of 1.5 it loses by a move

  @promise-long-work @failure-bad-worker
  Scenario: Checkpointed work leaves a slow host and little new work goes there
    Given 3 entry hosts and 4 hosts for workflows
    When 40 checkpointed workflows are submitted, one every 200 ms, and one host becomes 8 times as slow
    Then all are "completed" within 12 s
    And at most 16 runs have started on the slow host since then
    And a run was moved away from it
    And the run history has no violations
