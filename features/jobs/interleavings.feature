Feature: Long work under random interleavings of leaders and faults
  At most one attempt of a job runs at any time, a job that may run only once
  runs at most once, and no accepted job is lost.

  @promise-long-work @promise-at-most-once @failure-race @failure-lapsed-lease @failure-lost-answer @failure-crash @failure-partition @failure-store-down
  Scenario Outline: Leaders overlap, workers reboot and answers are lost
    Then 15 random histories of jobs from seed <seed> satisfy all guarantees of long work

    Examples:
      | seed |
      | 11   |
      | 23   |
      | 47   |

  @promise-long-work
  Scenario Outline: The job history checker reports injected faults
    Given a sound history of three jobs
    When "<fault>" is injected into the job history
    Then the job history checker reports "<violation>"

    Examples:
      | fault                        | violation        |
      | a record is deleted          | lost             |
      | a job is left waiting        | unfinished       |
      | two attempts overlap         | overlap          |
      | a once-only job runs again   | ran-again        |
      | an attempt runs twice        | attempt-repeated |
      | done without a completed run | false-done       |
      | failed after a completed run | forgotten        |
      | a run of an unknown job      | unknown          |

  Scenario: The job history checker accepts a sound history
    Given a sound history of three jobs
    Then the job history checker reports nothing
