Feature: Organisations see only their own workflows
  An id that another organisation uses is answered as if it did not exist, and a
  submission that is refused for it never runs.

  @promise-not-run
  Scenario: An organisation reads and cancels its own workflows only
    Given 3 entry hosts and 4 hosts for workflows
    When "org-a" submits the lasting workflow "00000000000000d1" at every entry host
    Then its submissions had the outcomes "accepted, accepted, accepted"
    And "org-a" reads "running" within 3 s
    And "org-b" finds no such workflow, to read or to cancel
    And "org-a" reads "running" within 3 s

  # Guards against a 200 for the work of others, and against work that runs twice.
  @promise-not-run
  Scenario: An id in use is not accepted from another organisation, also after a new leader
    Given 3 entry hosts and 4 hosts for workflows
    When "org-a" submits the lasting workflow "00000000000000d1" at every entry host
    And "org-b" submits the lasting workflow "00000000000000d1" at every entry host
    Then its submissions had the outcomes "taken, taken, taken"
    When the leader is killed
    And 4000 ms pass
    And "org-b" submits the lasting workflow "00000000000000d1" at every entry host
    Then its submissions had the outcomes "taken, taken"
    And "org-b" finds no such workflow, to read or to cancel
    And the stored workflow and state name "org-a" and hold no key
    And the run history has no violations

  # Guards against a 200 for the work of others while the pool is full.
  @promise-not-run
  Scenario: An id in use is not accepted from another organisation while the pool is full
    Given 3 entry hosts and 4 hosts for workflows
    When "org-a" submits the lasting workflow "00000000000000d1" at every entry host
    And the pool is reported as full
    And "org-b" submits the short workflow "00000000000000d1" at every entry host
    Then its submissions had the outcomes "taken, taken, taken"
    When the pool is reported as full
    And "org-a" submits the short workflow "00000000000000d1" at every entry host
    Then its submissions had the outcomes "accepted, accepted, accepted"
    When the pool is reported as full
    And "org-b" submits the short workflow "00000000000000d3" at every entry host
    Then its submissions had the outcomes "refused, refused, refused"

  Scenario: Workflows stay known when their queue becomes public, or stops being public
    Given 3 entry hosts and 4 hosts for workflows
    When "org-a" submits the lasting workflow "00000000000000d1" at every entry host
    Then a caller without an organisation reads "running" within 3 s
    When a caller without an organisation submits the lasting workflow "00000000000000d2" at every entry host
    And "org-b" submits the lasting workflow "00000000000000d2" at every entry host
    Then its submissions had the outcomes "accepted, accepted, accepted"

  # Guards against a withdrawn key that is honoured for as long as the store turns the entry host away.
  @promise-configuration @failure-partition
  Scenario: An entry host that the store turns away identifies nobody after the time that a change may take
    Given 3 entry hosts and 4 hosts for workflows
    And the operator gives "org-a" the key "old" in version 10
    Then "entry-2" says of the key "old": "org-a"
    When the store turns "entry-2" away
    And the operator gives "org-a" the key "new" in version 11
    Then "entry-2" says of the key "old" for at most 3000 ms: "org-a", and then: "unconfirmed"
    And "entry-1" says of the key "old": "unknown"
    And "entry-1" says of the key "new": "org-a"
    When the store serves "entry-2" again
    Then "entry-2" says of the key "old" never more "org-a", and "unknown" within 500 ms
    And "entry-2" says of the key "new": "org-a"

  # Guards against calls that spend their caller's attempts while the store is away.
  @promise-configuration @failure-partition
  Scenario: A call waits a while for a store that comes back
    Given 3 entry hosts and 4 hosts for workflows
    And the operator gives "org-a" the key "old" in version 10
    When the store turns "entry-2" away
    And 4000 ms pass
    Then "entry-2" says of the key "old": "unconfirmed"
    When a call waits at "entry-2" for the configuration, 600 ms at most
    And the store serves "entry-2" again
    Then the call is ready within 400 ms, and "entry-2" says of the key "old": "org-a"
    When the store turns "entry-2" away
    And 4000 ms pass
    And a call waits at "entry-2" for the configuration, 600 ms at most
    Then the call is ready within 650 ms, and "entry-2" says of the key "old": "unconfirmed"

  # Guards against calls that are refused after the loss of a single watch.
  @promise-configuration @failure-silent-connection
  Scenario: The loss of one watch turns no key away
    Given 3 entry hosts and 4 hosts for workflows
    And the operator gives "org-a" the key "old" in version 10
    When the store turns "entry-2" away
    And 1000 ms pass
    And the store serves "entry-2" again
    Then "entry-2" says of the key "old" throughout 4000 ms: "org-a"

  # Guards against calls that are refused for as long as a watch waits for a change.
  @failure-store-down
  Scenario: After an outage without a new version, keys are valid again at once
    Given 3 entry hosts and 4 hosts for workflows
    And the operator gives "org-a" the key "old" in version 10
    When the store turns "entry-2" away
    And 5000 ms pass
    Then "entry-2" says of the key "old": "unconfirmed"
    When the store serves "entry-2" again
    And 300 ms pass
    Then "entry-2" says of the key "old": "org-a"
