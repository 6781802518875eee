Feature: A wrong time of day neither starts nor ends anything
  The time of day of an entry host may differ from that of others and may jump
  by seconds, forward or back. Leases, retention periods and gaps between orders
  are measured on the monotonic clock.

  Scenario Outline: A step of the wall clock is not followed at first
    Given a Unix clock that has run for 5 s
    When the wall clock is set <ms> ms forward
    Then the Unix clock still shows the time since its start, within 1 ms
    And 1 step of the clock is reported
    When 59 s pass
    Then the Unix clock still shows the time since its start, within 1 ms
    When 2 s pass
    Then the Unix clock shows the wall clock's time

    Examples:
      | ms       |
      | 3000     |
      | -3000    |
      | 2400000  |
      | -2400000 |

  Scenario: A step that is taken back is never followed
    Given a Unix clock that has run for 5 s
    When the wall clock is set 7000 ms forward
    And 20 s pass
    And the wall clock is set -7000 ms forward
    And 70 s pass
    Then the Unix clock still shows the time since its start, within 1 ms
    And 2 steps of the clock are reported

  Scenario: The corrections of a synchronised clock are followed at once
    Given a Unix clock that has run for 5 s
    When the wall clock is set 40 ms forward
    Then the Unix clock shows the wall clock's time
    And 0 steps of the clock are reported

  @promise-long-work @failure-clock
  Scenario Outline: The clocks jump in the middle of leases, and every task runs once
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 8 tasks of 4000 ms is submitted
    And 1 s pass
    And the wall clock is set <ms> ms forward
    Then it is "completed" within 5 s
    And every task has started exactly once
    And the run history has no violations

    Examples:
      | ms       |
      | 2400000  |
      | -2400000 |

  @promise-long-work @failure-clock
  Scenario: The clocks jump between the occurrences of a scheduled workflow
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 3 tasks of 400 ms is submitted that is due 4 times, every 1500 ms, starting in 1000 ms
    And 2 s pass
    And the wall clock is set 3000 ms forward
    Then it is "completed" within 9 s
    And every occurrence started at most 500 ms after it was due and not earlier

  @promise-long-work @failure-clock
  Scenario Outline: The state of a workflow is kept for its whole retention period
    Given 3 entry hosts and 4 hosts for workflows
    When a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    When the wall clock is set <ms> ms forward
    And 115 s pass
    Then it is "completed" within 1 s
    When 40 s pass
    Then the record of the first workflow has been removed

    Examples:
      | ms       |
      | 2400000  |
      | -2400000 |

  @promise-budget @failure-clock @failure-crash
  Scenario Outline: The clocks jump between two holders, and the later one observes the gap
    Given an earlier holder has recorded an order for a machine
    When the wall clock is set <ms> ms forward
    And another holder takes over with a gap of 4000 ms
    And 3 s pass
    Then the other holder may not order the machine
    When 2 s pass
    Then the other holder may order the machine

    Examples:
      | ms     |
      | 30000  |
      | -30000 |

  @promise-budget @failure-crash
  Scenario: An order that is older than the gap does not keep a new holder from its machine
    Given an earlier holder has recorded an order for a machine
    When 5 s pass
    And another holder takes over with a gap of 4000 ms
    Then the other holder may order the machine

  @promise-budget @failure-crash
  Scenario: A new holder that saw an order when it was recorded counts the gap from then
    Given a member that follows the record of machine orders
    And an earlier holder has recorded an order for a machine
    When 3 s pass
    And another holder takes over with a gap of 4000 ms
    Then the other holder may not order the machine
    When 2 s pass
    Then the other holder may order the machine

  @promise-budget @failure-clock @failure-crash
  Scenario: A later order for the machine starts the gap anew, also for a member that saw the first
    Given a member that follows the record of machine orders
    And an earlier holder has recorded an order for a machine
    When 3 s pass
    And the earlier holder records another order for the machine
    And the wall clock is set 30000 ms forward
    And another holder takes over with a gap of 4000 ms
    And 3 s pass
    Then the other holder may not order the machine
    When 2 s pass
    Then the other holder may order the machine

  @promise-budget @failure-lost-answer
  Scenario: A write of the record that is carried out late removes no later order
    Given an earlier holder has recorded an order for a machine
    When the holder records an order, and the store carries the write out 2 s later
    And the holder records an order for another machine after 500 ms
    And 3 s pass
    Then every order that was confirmed is still recorded

  @promise-budget @failure-clock @failure-crash
  Scenario: The clocks jump between two leaders, and no machine gets orders from both within the gap
    Given 3 entry hosts, 6 hosts for workflows and 4 spare machines
    When a wave over all machines is declared with a duration of 40 s and at most 2 machines down
    And 3 s pass
    And the leader is killed
    And the wall clock is set 30000 ms forward
    Then the wave is completed within 40 s
    And the run history has no violations
