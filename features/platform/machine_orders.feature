Feature: Orders for machines do not wait for each other
  When the load turns to another pool, the leader orders dozens of machines at
  once. While it is busy, each answer waits in its event loop.

  @real-clock
  Scenario: 32 orders reach the machine API before it has answered any
    Given a machine API that answers only once 32 orders have arrived
    When 32 machines are ordered to move
    Then all 32 orders are done
