Feature: Budgets and assignments under any interleaving
  Two pools, old and new leaders, two operators and every fault take turns.

  @promise-budget @promise-one-pool @failure-race @failure-two-operators @failure-lost-answer @failure-crash @failure-lapsed-lease @failure-store-down
  Scenario: No interleaving breaks a budget or puts a host in two pools
    When 120 interleavings of 300 steps run with seed 20260105 in the fleet model
    Then every fleet history of the model is sound
    And the interleavings drained, rebooted, lost and moved hosts
