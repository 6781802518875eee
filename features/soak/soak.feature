@real-clock
Feature: Fault soak of entry processes

  @promise-graceful-stop @promise-not-run @failure-crash
  Scenario Outline: A short list of faults breaks no promise
    When the soak plays seed <seed> with <minutes> minutes of faults
    Then the soak finds no broken promise

    Examples:
      | seed | minutes |
      | 52   | 0.06    |

    # Guards against processes that end because of what others send.
    Examples:
      | seed | minutes |
      | 60   | 0.08    |
      | 66   | 0.08    |

  # Guards against a check that can't fail.
  Scenario: Each check finds its planted fault
    When the soak plays seed 3 with a planted fault for each check
    Then each check of the soak has found a broken promise

  Scenario: The shortest fault list that still fails
    Given a list of 11 faults that fails because of the faults 3 and 8
    When the soak searches the shortest list that still fails with 40 plays
    Then the shortest list has the faults 3 and 8 only

  # Guards against a soak without the faults of issue 50.
  Scenario Outline: A run of half a minute has two outages and a power cut
    When the soak draws two outages for seed <seed> and 30 s
    Then they begin 5 to 7 s apart, and all entry processes are killed after them
    And in each outage entries lapse and hosts restart, and orders outlive them

    Examples:
      | seed |
      | 1001 |
      | 1002 |
      | 1003 |

  # Guards against a run that counts as acknowledged before it is.
  Scenario Outline: The ends of tasks that malformed callers submit are counted
    Given a host that lists the end of a task that nobody follows, then one as done
    When <acknowledged>, and the host restarts
    And the task that was done starts again
    Then the soak reports <violations> broken promises

    Examples:
      | acknowledged                  | violations |
      | the first end is acknowledged | 0          |
      | both ends are acknowledged    | 1          |
