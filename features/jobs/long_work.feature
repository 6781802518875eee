Feature: Long work is stored, placed, preempted and monitored
  Each scenario causes one of the failures that long work must survive.

  @promise-long-work @failure-impossible-job
  Scenario: A job that no host can run is refused with all findings
    Given a pool of 4 long-work hosts with 8 slots
    When a job of 9 slots, 64 processors and 1 accelerator is submitted to the pool
    Then the job is refused as "unsatisfiable" with findings at "size.slots, size.processors, size.accelerators"
    And the pool's store holds 0 jobs

  @promise-long-work @failure-lost-answer
  Scenario: A lost store answer neither loses nor duplicates a submission
    Given a pool of 2 long-work hosts with 8 slots
    And every answer of the pool's store to a write is lost
    When the same keyed job is submitted to the pool 3 times
    Then each of the job's submissions was accepted as the same job
    And within 30 seconds every job of the pool is "done"
    And the pool's job history satisfies all guarantees

  @promise-long-work @failure-wrong-sizes
  Scenario: Run time and memory are estimated from earlier runs when declarations are wrong
    Given a pool of 2 long-work hosts with 8 slots
    When 12 jobs that run 4 times as long as declared are submitted to the pool
    Then within 60 seconds every job of the pool is "done"
    And the pool's leader expects such a job to take about 4 times what it declares
    And no host of the pool ever ran tasks that use more memory than it has after 12 more such jobs

  @promise-long-work @failure-impossible-job
  Scenario: A job that fails on healthy workers is held for an operator to decide
    Given a pool of 4 long-work hosts with 8 slots
    When a job that always fails is submitted to the pool
    Then within 30 seconds every job of the pool is "held"
    When an operator fails the held job
    Then within 5 seconds every job of the pool is "failed"

  @promise-long-work @failure-bad-worker
  Scenario: A worker that fails jobs that others complete gets no more long work
    Given a pool of 4 long-work hosts with 8 slots
    And the second long-work host fails every task
    When 40 jobs of 2000 ms are submitted to the pool
    Then within 60 seconds every job of the pool is "done"
    And the second long-work host was reported as suspect once

  @promise-long-work @promise-at-most-once @failure-crash
  Scenario: A once-only job whose worker reboots is held and reruns only by an operator
    Given a pool of 2 long-work hosts with 8 slots
    When a once-only job of 20000 ms is submitted to the pool
    And 2 seconds later the worker of the pool's job reboots
    Then within 10 seconds every job of the pool is "held"
    When an operator reruns the held job
    Then within 60 seconds every job of the pool is "done"

  @promise-long-work @failure-cancellation-wave
  Scenario: A wave of cancellations doesn't stall placement
    Given a pool of 4 long-work hosts with 8 slots
    When 100 jobs of 60000 ms are submitted to the pool
    And 2 seconds later all of them are cancelled at once
    And 32 jobs of 1000 ms are submitted to the pool
    Then within 10 seconds 32 jobs of the pool are "done"
    And no long-work host runs a task
    And the pool's job history satisfies all guarantees

  @promise-long-work
  Scenario: A burst of interactive work gets slots within the limit of the profile
    Given a pool of 4 long-work hosts with 8 slots
    When 64 jobs of 10000 ms are submitted to the pool
    And 3 seconds later interactive work lacks 20 slots of the pool
    Then within 1 second 20 slots of the pool are free
    And long work keeps at least 3 slots of the pool for 5 seconds
    When interactive work lacks no slots of the pool any more
    Then within 60 seconds every job of the pool is "done"
    And no work of the pool's jobs was lost to preemption
    And the pool's job history satisfies all guarantees

  @promise-long-work @promise-leaving
  Scenario: Long work that would not end in time leaves a host that the platform removes
    Given a pool of 3 long-work hosts with 8 slots
    When 24 jobs of 30000 ms are submitted to the pool
    And 2 seconds later the platform announces that the first long-work host leaves
    Then within 2 seconds the first long-work host runs no task
    And within 120 seconds every job of the pool is "done"

  @promise-long-work @failure-crash
  Scenario: A takeover adopts running work without a restart
    Given a pool of 4 long-work hosts with 8 slots
    When 32 jobs of 8000 ms are submitted to the pool
    And 3 seconds later another leader takes the pool over from a crashed one
    Then within 20 seconds every job of the pool is "done"
    And every job of the pool took one attempt

  @promise-long-work @failure-store-down
  Scenario: Running work survives an outage of the store
    Given a pool of 4 long-work hosts with 8 slots
    When 16 once-only jobs of 60000 ms are submitted to the pool
    And 3 seconds later the pool's store is down for 90 seconds and its leader resigns
    Then within 20 seconds every job of the pool is "done"
    And every job of the pool took one attempt
    And the pool's job history satisfies all guarantees

  @promise-long-work
  Scenario: An overdue job is reported once
    Given a pool of 1 long-work hosts with 1 slots
    When 3 jobs of 20000 ms are submitted to the pool
    Then within 70 seconds every job of the pool is "done"
    And the pool's leader reported 1 jobs as overdue

  @promise-long-work
  Scenario: Finished jobs are deleted after the retention time
    Given a pool of 2 long-work hosts with 8 slots that keeps finished jobs for 5 minutes
    When 4 jobs of 1000 ms are submitted to the pool
    Then within 10 seconds 4 jobs of the pool are "done"
    And within 480 seconds the pool's store holds no job

  @promise-long-work
  Scenario: Store writes per job average at most six
    Given a pool of 4 long-work hosts with 8 slots
    When 100 jobs of 1000 ms are submitted to the pool
    Then within 60 seconds every job of the pool is "done"
    And the pool's store took at most 6 writes per job
