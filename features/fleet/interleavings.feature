Feature: Budgets and assignments under any interleaving
  Steps of two pools, of their old and new leaders, of two operators and of all
  faults run in random order.

  @promise-budget @promise-one-pool @failure-race @failure-two-operators @failure-lost-answer @failure-crash @failure-lapsed-lease @failure-store-down
  Scenario: No interleaving exceeds a budget or assigns a host to two pools
    When 120 interleavings of 300 steps run with seed 20260105 in the fleet model
    Then every fleet history of the model is sound
    And the interleavings drained, rebooted, lost and moved hosts
