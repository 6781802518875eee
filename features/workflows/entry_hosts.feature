Feature: The cost of an entry host does not grow with the work of the others
  Only the leader follows the workflows. The other entry hosts follow the leader
  and its load report, and read the single states that callers ask for.

  Scenario: Many workflows run, and idle entry hosts make few calls to the store
    Given 6 entry hosts and 8 hosts for workflows
    When 200 workflows are submitted, one every 50 ms
    Then every entry host that was not called made at most 4 store calls per second

  @promise-long-work @failure-store-down
  Scenario: A final state that was read is still answered while the store is unreachable
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    When its state has been read at every entry host
    And the store is unreachable from every entry host
    Then every entry host says that it is "completed"

  @promise-not-run @failure-lost-answer
  Scenario: After an unknown outcome an entry host does not say that a workflow will not run
    Given 3 entry hosts and 4 hosts for workflows
    When the store does not answer "entry-2", and a caller submits a workflow there
    Then the outcome is "unknown"
    When the store refuses "entry-2", and the caller repeats the submission there
    Then the outcome is "unknown"
    When the store answers "entry-2", and the caller repeats the submission there
    Then the outcome is "accepted"

  @promise-long-work
  Scenario: Stored entries that cannot be read cost only themselves, also at the next leader
    Given 3 entry hosts and 4 hosts for workflows
    When the store holds entries under the prefix of workflows that are none
    And a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    When the leader is killed
    And a workflow of 4 tasks of 500 ms is submitted
    Then all are "completed" within 6 s
    And the run history has no violations

  @promise-long-work @failure-crash
  Scenario: A leader that is stopped while it reads the stored work does not go on as leader
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 4 tasks of 500 ms is submitted
    And the leader is killed and the next one is stopped while it reads the stored work
    And 2 s pass
    Then the stopped entry host makes no calls to the store for 3 s
    And all are "completed" within 6 s
