@real-clock
Feature: Entry hosts do not end by themselves

  # Guards against the incident of issue 40: each leader in turn ended with an unhandled rejection.
  Scenario Outline: An impossible address in the registry ends no entry host
    Given 2 entry hosts as processes, with workers
    When another program registers itself at "<address>"
    And a workflow is submitted 2 seconds later
    Then the workflow completes within 10 seconds
    And no entry host has ended by itself
    And the leader has logged one invalid entry

    Examples:
      | address         |
      | 127.0.0.1:90100 |
      | 127.0.0.999:80  |

  # Guards against a process that ends, or a leader that goes on with unknown state, after an error that nothing handles.
  Scenario Outline: An error that nothing handles ends the term of a leader, not the process
    Given 1 entry host as a process, with workers, that <fails> after 3 seconds
    When a workflow is submitted 4 seconds later
    Then the workflow completes within 10 seconds
    And no entry host has ended by itself
    And it has led twice, and logged and counted one error "<activity>"

    Examples:
      | fails                    | activity           |
      | throws in a timer        | uncaughtException  |
      | rejects an ignored call  | unhandledRejection |
