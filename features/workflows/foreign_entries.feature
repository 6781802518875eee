Feature: Registrations that no host has written
  Another program may write under the prefix of the hosts' registrations. Such an
  entry names no host to use, and says nothing about those that exist.

  # Guards against a second run of each task of a live host whose machine is named
  # by the entry of another program.
  @promise-long-work
  Scenario Outline: An entry names the machine of a host that is at work
    Given 3 entry hosts and 2 hosts for workflows
    When a workflow of 20 tasks of 3000 ms is submitted
    And 1 s pass
    And another program registers a host of <pool> on the machine of the host with the most runs
    Then it is "completed" within 8 s
    And every task has started exactly once
    And the run history has no violations

    Examples:
      | pool                           |
      | a pool that nobody configured  |
      | the same pool                  |

  # Guards against a host that a new leader does not use because an entry of
  # another program names its machine.
  @promise-long-work @failure-crash
  Scenario: An entry names the machine of a host, and the leader changes
    Given 3 entry hosts and 1 hosts for workflows
    When another program registers a host of the same pool on the machine of the host with the most runs
    And the leader is killed
    And 3 s pass
    And a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    And every task has started exactly once
