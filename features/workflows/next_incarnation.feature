Feature: Calls that the next incarnation of a host carries out
  A call without an answer may be carried out seconds later, also by a host that has
  started again under its id meanwhile.

  # Guards against a run that is given up because its host has confirmed it, while the
  # next incarnation executes an earlier copy of its order.
  @known-red @promise-long-work @failure-crash @failure-lost-answer
  Scenario: A host restarts silently, and carries out an earlier copy of an order that was answered
    Given 3 entry hosts and 1 hosts for workflows
    When 20 s pass
    And 100 of 100 orders to hosts are carried out 4000 ms late without an answer
    And late orders reach a host that has restarted meanwhile
    And a workflow of 1 tasks of 9000 ms is submitted
    And 500 ms pass
    And 0 of 100 orders to hosts are carried out 0 ms late without an answer
    And 2500 ms pass
    And the host restarts after 300 ms and stays silent
    And another host starts
    And 16 s pass
    Then the run history has no violations
