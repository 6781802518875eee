Feature: Cancellations of submissions with an unknown outcome
  An answered cancellation holds, in whatever order the writes of the submission
  and of the cancellation take effect.

  # Guards against a workflow that runs after its cancellation was answered,
  # because the write that accepts it took effect later.
  @promise-not-run @failure-lost-answer
  Scenario Outline: A submission takes effect after its cancellation was answered by <host>
    Given 3 entry hosts and 4 hosts for workflows
    When writes of "entry-1" take effect 5000 ms late
    And a workflow is submitted through "entry-1"
    And writes of "entry-1" take effect at once
    And the workflow is cancelled through "<host>"
    Then the outcomes are "unknown, withdrawn"
    When 10 s pass
    Then no task of the workflow was started
    And the run history has no violations

    Examples:
      | host    |
      | entry-1 |
      | entry-2 |

  # Guards against a cancelled id that is accepted from a copy of its submission.
  @promise-not-run
  Scenario: An id that was cancelled before it was submitted is refused for a while
    Given 3 entry hosts and 4 hosts for workflows
    When the workflow is cancelled through "entry-1"
    And a workflow is submitted through "entry-2"
    And the workflow is cancelled through "entry-2"
    Then the outcomes are "withdrawn, withdrawn, withdrawn"
    When 10 s pass
    Then no task of the workflow was started
    When 100 s pass
    Then no withdrawal is stored
    When a workflow is submitted through "entry-3"
    Then the outcomes are "withdrawn, withdrawn, withdrawn, accepted"

  # Guards against withdrawals that stay in the store for ever, as no leader
  # knows their ids.
  @failure-crash
  Scenario: A new leader removes the withdrawals of entry hosts that have crashed
    Given 3 entry hosts and 4 hosts for workflows
    When 40 unknown ids are cancelled through "entry-1"
    And the leader is killed
    And 100 s pass
    Then no withdrawal is stored

  # Guards against a caller that uses up the write rate of the store by
  # cancelling ids that do not exist.
  Scenario: Many cancellations of unknown ids at once are refused
    Given 3 entry hosts and 4 hosts for workflows
    When 200 unknown ids are cancelled through "entry-1"
    Then at most 60 of them are withdrawn, and the others are refused at once

  # Guards against orders of writes in which a cancelled workflow runs, or
  # somebody else's cancellation stops a workflow.
  @promise-not-run @failure-lost-answer @failure-race
  Scenario: Random orders of late, lost and doubled writes
    When 400 random histories of submissions and cancellations are played with seed 56
    Then no cancelled workflow runs on
    And the histories have at least 20 submissions and cancellations that are withdrawn

  # Guards against a workflow that runs although its submission was refused,
  # because an earlier write of it through another entry host took effect later.
  @known-red @promise-not-run @failure-lost-answer
  Scenario: A submission is refused while an earlier write of it is still in transit
    Given 3 entry hosts and 4 hosts for workflows
    When writes of "entry-1" take effect 5000 ms late
    And a workflow is submitted through "entry-1"
    And writes of "entry-1" take effect at once
    And the pool is reported as full
    And a workflow is submitted through "entry-2"
    Then the outcomes are "unknown, refused"
    When 10 s pass
    Then no task of the workflow was started
